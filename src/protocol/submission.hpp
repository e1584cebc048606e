/// \file
/// Jobs as users submit them; job records in the state service have the same form.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "clock.hpp"
#include "protocol/json.hpp"
#include "protocol/resources.hpp"

namespace poppystile::protocol {

/// A gang is an array whose tasks run at the same time or not at all.
enum class JobKind : std::uint8_t { array, service, gang };
enum class Priority : std::uint8_t { low, normal, high, production };

/// What a user asks to be run.
struct JobSpec {
  std::string id;
  std::string job_class;
  std::string team;
  JobKind kind = JobKind::array;
  Priority priority = Priority::normal;
  std::uint32_t tasks = 0;
  Resources task_resources;                       ///< Of one task.
  std::optional<std::vector<std::string>> types;  ///< Allowed machine types; nothing: all.
  std::optional<std::string> zone;                ///< The only allowed zone; nothing: all.
  bool one_zone = false;                          ///< All tasks in the same zone.
  bool spread = false;                            ///< Tasks on different machines.
  bool spot = false;                              ///< May run on spot machines.
  std::string image;
  double image_gb = 0;
  Seconds estimated_run_time{0};
  Seconds checkpoint_interval{0};
  Seconds checkpoint_save_time{0};
  std::optional<Seconds> deadline;  ///< After submission.
};

/// Whether the id has the form that users give their jobs.
bool valid_job_id(const std::string& id);

/// Throws DecodeError with the first field that is missing or invalid.
JobSpec parse_submission(const Json& body);
/// The inverse of `parse_submission`; fields without a value are left out.
Json encode_submission(const JobSpec& job);

}  // namespace poppystile::protocol
