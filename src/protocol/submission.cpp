#include "protocol/submission.hpp"

#include <algorithm>
#include <array>
#include <string_view>

#include "constants.hpp"
#include "protocol/wire_names.hpp"

namespace poppystile::protocol {

namespace {

constexpr std::string_view id_prefix = "req-";

// CPUs, GPUs or GB; keeps the sum over all tasks of a job far below the largest 64-bit integer.
constexpr double max_task_amount = 1e9;

// Fields that only submissions have.
constexpr const char* job_class_field = "lane";
constexpr const char* team_field = "crew";
constexpr const char* priority_field = "rank";
constexpr const char* one_zone_field = "one_zone";
constexpr const char* spread_field = "scatter";
constexpr const char* image_field = "bundle";
constexpr const char* image_size_field = "pull_gb";
constexpr const char* estimated_run_time_field = "guess_s";
constexpr const char* checkpoint_interval_field = "mark_every_s";
constexpr const char* checkpoint_save_time_field = "mark_cost_s";
constexpr const char* deadline_field = "due_s";

// Wire values in the order of the enumerators.
constexpr std::array<const char*, 3> kind_values = {"sweep", "standing", "gang"};
constexpr std::array<const char*, 4> priority_values = {"idle", "normal", "high", "production"};

/// Reads an enumerator by its wire value; `wire_values` lists the wire values in the order of
/// `Enum`.
template <typename Enum, std::size_t count>
Enum need_enum(const Json& body, const char* name,
               const std::array<const char*, count>& wire_values) {
  const std::string wire_value = need_text(body, name);
  const auto found = std::find(wire_values.begin(), wire_values.end(), wire_value);
  if (found == wire_values.end()) throw DecodeError(name, "is unknown");
  return static_cast<Enum>(found - wire_values.begin());
}

/// Reads a text of 1 to `constants::max_name_bytes` bytes.
std::string need_name(const Json& body, const char* name) {
  std::string text = need_text(body, name);
  if (text.empty() || text.size() > constants::max_name_bytes)
    throw DecodeError(name, "has a bad length");
  return text;
}

std::string need_job_id(const Json& body) {
  std::string id = need_text(body, wire::job_id);
  if (!valid_job_id(id)) throw DecodeError(wire::job_id, "is malformed");
  return id;
}

std::uint32_t need_task_count(const Json& body) {
  const auto tasks = need_count(body, wire::tasks);
  if (tasks == 0 || tasks > constants::max_tasks) throw DecodeError(wire::tasks, "out of range");
  return static_cast<std::uint32_t>(tasks);
}

/// Reads the resources of one task, which must include some CPU.
Resources need_task_resources(const Json& body) {
  const Resources resources = parse_resources(body, max_task_amount);
  if (resources.cpus <= 0) throw DecodeError(wire::cpus, "out of range");
  return resources;
}

}  // namespace

bool valid_job_id(const std::string& id) {
  return id.size() > id_prefix.size() && id.size() <= constants::max_job_id_bytes &&
         id.starts_with(id_prefix) &&
         std::all_of(id.begin() + id_prefix.size(), id.end(),
                     [](unsigned char c) { return c >= '0' && c <= '9'; });
}

JobSpec parse_submission(const Json& body) {
  JobSpec job;
  job.id = need_job_id(body);
  job.job_class = need_name(body, job_class_field);
  job.team = need_name(body, team_field);
  job.kind = need_enum<JobKind>(body, wire::job_kind, kind_values);
  job.priority = need_enum<Priority>(body, priority_field, priority_values);
  job.tasks = need_task_count(body);
  job.task_resources = need_task_resources(body);
  if (find(body, wire::machine_types) != nullptr) job.types = need_texts(body, wire::machine_types);
  if (find(body, wire::zone) != nullptr) job.zone = need_text(body, wire::zone);
  job.one_zone = need_flag(body, one_zone_field);
  job.spread = need_flag(body, spread_field);
  job.spot = need_flag(body, wire::spot);
  job.image = need_name(body, image_field);
  job.image_gb = need_amount(body, image_size_field);
  job.estimated_run_time = need_seconds(body, estimated_run_time_field);
  job.checkpoint_interval = need_seconds(body, checkpoint_interval_field);
  job.checkpoint_save_time = need_seconds(body, checkpoint_save_time_field);
  if (find(body, deadline_field) != nullptr) job.deadline = need_seconds(body, deadline_field);
  return job;
}

Json encode_submission(const JobSpec& job) {
  Json out = {{wire::job_id, job.id},
              {job_class_field, job.job_class},
              {team_field, job.team},
              {wire::job_kind, kind_values.at(static_cast<std::size_t>(job.kind))},
              {priority_field, priority_values.at(static_cast<std::size_t>(job.priority))},
              {wire::tasks, job.tasks},
              {one_zone_field, job.one_zone},
              {spread_field, job.spread},
              {wire::spot, job.spot},
              {image_field, job.image},
              {image_size_field, job.image_gb},
              {estimated_run_time_field, job.estimated_run_time.count()},
              {checkpoint_interval_field, job.checkpoint_interval.count()},
              {checkpoint_save_time_field, job.checkpoint_save_time.count()}};
  encode_resources(job.task_resources, out);
  if (job.types) out[wire::machine_types] = *job.types;
  if (job.zone) out[wire::zone] = *job.zone;
  if (job.deadline) out[deadline_field] = job.deadline->count();
  return out;
}

}  // namespace poppystile::protocol
