#include "protocol/submission.hpp"

#include <algorithm>
#include <iterator>
#include <limits>

#include "constants.hpp"

namespace poppystile::protocol {

namespace {

constexpr const char* id_prefix = "req-";
constexpr const char* submissions_path = "/submissions";

std::int64_t thousandths(double amount, const char* name) {
  if (amount > 1e9) throw DecodeError(std::string(name) + " out of range");
  return std::llround(amount * 1000);
}

std::string need_name(const Json& body, const char* name) {
  std::string text = need_text(body, name);
  if (text.empty() || text.size() > constants::max_name_bytes)
    throw DecodeError(std::string(name) + " has a bad length");
  return text;
}

constexpr const char* kind_words[] = {"sweep", "standing", "gang"};

JobKind parse_kind(const std::string& word) {
  for (std::size_t i = 0; i < std::size(kind_words); ++i)
    if (word == kind_words[i]) return static_cast<JobKind>(i);
  throw DecodeError("shape is unknown");
}

constexpr const char* priority_words[] = {"idle", "normal", "high", "production"};

Priority parse_priority(const std::string& word) {
  for (int i = 0; i < 4; ++i)
    if (word == priority_words[i]) return static_cast<Priority>(i);
  throw DecodeError("rank is unknown");
}

std::optional<std::vector<std::string>> parse_types(const Json& body) {
  if (find(body, "builds") == nullptr) return std::nullopt;
  std::vector<std::string> out;
  for (const Json& each : need_list(body, "builds")) out.push_back(as_text(each, "builds"));
  return out;
}

}  // namespace

std::int64_t Resources::times_in(const Resources& room) const {
  std::int64_t times = std::numeric_limits<std::int64_t>::max();
  if (cpus > 0) times = std::min(times, room.cpus / cpus);
  if (gpus > 0) times = std::min(times, room.gpus / gpus);
  if (memory > 0) times = std::min(times, room.memory / memory);
  return std::clamp<std::int64_t>(times, 0, constants::max_tasks);
}

bool valid_job_id(const std::string& id) {
  const std::string prefix = id_prefix;
  return id.size() > prefix.size() && id.size() <= constants::max_id_bytes &&
         id.starts_with(prefix) &&
         std::all_of(id.begin() + static_cast<long>(prefix.size()), id.end(),
                     [](unsigned char c) { return c >= '0' && c <= '9'; });
}

JobSpec parse_submission(const Json& body) {
  JobSpec job;
  job.id = need_text(body, "id");
  if (!valid_job_id(job.id)) throw DecodeError("id is malformed");
  job.job_class = need_name(body, "lane");
  job.team = need_name(body, "crew");
  job.kind = parse_kind(need_text(body, "shape"));
  job.priority = parse_priority(need_text(body, "rank"));
  const auto tasks = need_count(body, "pieces");
  if (tasks == 0 || tasks > constants::max_tasks) throw DecodeError("pieces out of range");
  job.tasks = static_cast<std::uint32_t>(tasks);
  job.each = {thousandths(need_amount(body, "cores"), "cores"),
              thousandths(need_amount(body, "gpus"), "gpus"),
              thousandths(need_amount(body, "ram_gb"), "ram_gb")};
  if (job.each.cpus <= 0) throw DecodeError("cores out of range");
  job.types = parse_types(body);
  if (const Json* zone = find(body, "yard")) job.zone = as_text(*zone, "yard");
  job.one_zone = need_flag(body, "one_zone");
  job.spread = need_flag(body, "scatter");
  job.spot = need_flag(body, "loaners");
  job.image = need_name(body, "bundle");
  job.image_gb = need_amount(body, "pull_gb");
  job.estimated_run_time = need_seconds(body, "guess_s");
  job.checkpoint_interval = need_seconds(body, "mark_every_s");
  job.checkpoint_save_time = need_seconds(body, "mark_cost_s");
  if (const Json* due = find(body, "due_s")) job.deadline = as_seconds(*due, "due_s");
  return job;
}

Json encode_submission(const JobSpec& job) {
  Json out = {{"id", job.id},
              {"lane", job.job_class},
              {"crew", job.team},
              {"shape", kind_words[static_cast<std::size_t>(job.kind)]},
              {"rank", priority_words[static_cast<int>(job.priority)]},
              {"pieces", job.tasks},
              {"cores", static_cast<double>(job.each.cpus) / 1000},
              {"gpus", static_cast<double>(job.each.gpus) / 1000},
              {"ram_gb", static_cast<double>(job.each.memory) / 1000},
              {"one_zone", job.one_zone},
              {"scatter", job.spread},
              {"loaners", job.spot},
              {"bundle", job.image},
              {"pull_gb", job.image_gb},
              {"guess_s", job.estimated_run_time.count()},
              {"mark_every_s", job.checkpoint_interval.count()},
              {"mark_cost_s", job.checkpoint_save_time.count()}};
  if (job.types) out["builds"] = *job.types;
  if (job.zone) out["yard"] = *job.zone;
  if (job.deadline) out["due_s"] = job.deadline->count();
  return out;
}

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
  return Json{{"id", id}, {"stage", to_string(state)}}.dump();
}

std::string encode_job_status(const std::string& id, JobState state, std::uint64_t done,
                              std::uint64_t running) {
  return Json{{"id", id}, {"stage", to_string(state)}, {"done", done}, {"running", running}}
      .dump();
}

std::string encode_error(const std::string& reason) { return Json{{"error", reason}}.dump(); }

Route parse_route(const std::string& target) {
  using Kind = Route::Kind;
  const std::string path = target.substr(0, target.find('?'));
  if (path == submissions_path) return {Kind::submit, ""};
  if (path == "/up") return {Kind::up, ""};
  if (path == "/agent/beat") return {Kind::heartbeat, ""};
  const std::string prefix = std::string(submissions_path) + "/";
  if (!path.starts_with(prefix)) return {};
  std::string rest = path.substr(prefix.size());
  const std::string cancel = "/cancel";
  const bool cancelling = rest.ends_with(cancel);
  if (cancelling) rest.resize(rest.size() - cancel.size());
  if (rest.empty() || rest.find('/') != std::string::npos) return {};
  return {cancelling ? Kind::cancel : Kind::show, rest};
}

}  // namespace poppystile::protocol
