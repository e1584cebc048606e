#include "protocol/user_responses.hpp"

#include "protocol/json.hpp"
#include "protocol/wire_names.hpp"

namespace poppystile::protocol {

const char* to_string(JobState state) {
  switch (state) {
    case JobState::queued:
      return "pending";
    case JobState::running:
      return "running";
    case JobState::done:
      return "done";
    case JobState::cancelled:
      return "aborted";
  }
  return "pending";
}

std::string encode_submitted(const std::string& id, JobState state) {
  return Json{{wire::job_id, id}, {wire::state, to_string(state)}}.dump();
}

std::string encode_job_status(const std::string& id, JobState state, std::uint64_t done,
                              std::uint64_t running) {
  return Json{
      {wire::job_id, id}, {wire::state, to_string(state)}, {"done", done}, {"running", running}}
      .dump();
}

std::string encode_error(const std::string& reason) { return Json{{"error", reason}}.dump(); }

}  // namespace poppystile::protocol
