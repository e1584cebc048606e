/// \file
/// Jobs as users submit them; job records in the state service have the same format.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "clock.hpp"
#include "protocol/json.hpp"
#include "protocol/resources.hpp"

namespace poppystile::protocol {

/// The tasks of an array run independently, those of a gang all at the same time or not at all. The
/// tasks of a service are replicas.
enum class JobKind : std::uint8_t { array, service, gang };
enum class Priority : std::uint8_t { low, normal, high, production };

/// The description of a job in a submission.
struct JobSpec {
  std::string id;
  std::string job_class;
  std::string team;
  JobKind kind = JobKind::array;
  Priority priority = Priority::normal;
  std::uint32_t tasks = 0;
  Resources task_resources;                       ///< Resources of one task.
  std::optional<std::vector<std::string>> types;  ///< Allowed machine types; nullopt: all.
  std::optional<std::string> zone;                ///< The only allowed zone; nullopt: all.
  bool one_zone = false;                          ///< All tasks must run in the same zone.
  bool spread = false;                            ///< At most half the tasks per zone, rounded up.
  bool spot = false;                              ///< Tasks may run on spot machines.
  std::string image;
  double image_gb = 0;
  Seconds estimated_run_time{0};
  Seconds checkpoint_interval{0};
  Seconds checkpoint_save_time{0};
  std::optional<Seconds> deadline;  ///< Time after the submission.
};

/// Whether the id has the form of a job id: "req-" and decimal digits, at most
/// `constants::max_job_id_bytes` bytes in all.
bool valid_job_id(const std::string& id);

/// Throws DecodeError for the first field that is missing or invalid.
JobSpec parse_submission(const Json& body);
/// The inverse of `parse_submission`; omits optional fields without a value.
Json encode_submission(const JobSpec& job);

}  // namespace poppystile::protocol
