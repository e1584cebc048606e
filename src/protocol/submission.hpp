// What users send and are told.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "protocol/json.hpp"

namespace poppystile::protocol {

// Amounts are kept as whole thousandths, so that sums never drift.
struct Resources {
  std::int64_t cpus = 0;
  std::int64_t gpus = 0;
  std::int64_t memory = 0;

  Resources& operator+=(const Resources& o) {
    cpus += o.cpus, gpus += o.gpus, memory += o.memory;
    return *this;
  }
  Resources& operator-=(const Resources& o) {
    cpus -= o.cpus, gpus -= o.gpus, memory -= o.memory;
    return *this;
  }
  bool fits(const Resources& room) const {
    return cpus <= room.cpus && gpus <= room.gpus && memory <= room.memory;
  }
  // How many times this fits into `room`.
  std::int64_t times_in(const Resources& room) const;
};

// A gang is an array whose tasks run at the same time or not at all.
enum class JobKind : std::uint8_t { array, service, gang };
enum class Priority : std::uint8_t { low, normal, high, production };
enum class JobState : std::uint8_t { queued, running, done, cancelled };

struct JobSpec {
  std::string id;
  std::string job_class;
  std::string team;
  JobKind kind = JobKind::array;
  Priority priority = Priority::normal;
  std::uint32_t tasks = 0;
  Resources each;
  std::optional<std::vector<std::string>> types;
  std::optional<std::string> zone;
  bool one_zone = false;
  bool spread = false;
  bool spot = false;
  std::string image;
  double image_gb = 0;
  Seconds estimated_run_time{0};
  Seconds checkpoint_interval{0};
  Seconds checkpoint_save_time{0};
  std::optional<Seconds> deadline;
};

bool valid_job_id(const std::string& id);
// Throws DecodeError with a short reason.
JobSpec parse_submission(const Json& body);
Json encode_submission(const JobSpec& job);

std::string encode_submitted(const std::string& id, JobState state);
std::string encode_job_status(const std::string& id, JobState state, std::uint64_t done,
                              std::uint64_t running);
std::string encode_error(const std::string& reason);
const char* to_string(JobState state);

// Where a user's request goes.
struct Route {
  enum class Kind { submit, show, cancel, up, heartbeat, none } kind = Kind::none;
  std::string id;
};
Route parse_route(const std::string& target);

}  // namespace poppystile::protocol
