#include "coordination/api/admission_check.hpp"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

namespace poppystile::coordination {

using protocol::JobKind;
using protocol::JobSpec;
using protocol::MachineType;
using protocol::TeamSettings;

namespace {

template <typename Value>
bool contains(const std::vector<Value>& values, const Value& wanted) {
  return std::find(values.begin(), values.end(), wanted) != values.end();
}

bool allows_type(const JobSpec& job, const MachineType& type) {
  return !job.types || contains(*job.types, type.name);
}

bool allows_zone_of(const JobSpec& job, const MachineType& type) {
  return !job.zone || contains(type.zones, *job.zone);
}

/// Whether `total`, in thousandths, exceeds `max_units`, in whole units. 0 means no limit.
bool exceeds(std::int64_t total, double max_units) {
  return max_units > 0 && total > std::llround(max_units * 1000);
}

/// Whether the job exceeds the team's limit even if the team runs nothing else. Counts one task of
/// an array, whose tasks may run one after another, and all tasks of other jobs, which run at the
/// same time.
bool exceeds_team_limit(const JobSpec& job, const TeamSettings& team) {
  const std::int64_t tasks = job.kind == JobKind::array ? 1 : job.tasks;
  return exceeds(job.task_resources.cpus * tasks, team.cpus_max) ||
         exceeds(job.task_resources.gpus * tasks, team.gpus_max);
}

}  // namespace

const char* to_string(RejectionReason reason) {
  switch (reason) {
    case RejectionReason::unknown_team:
      return "unknown team";
    case RejectionReason::no_fitting_machine_type:
      return "a task fits no allowed machine type";
    case RejectionReason::gangs_not_supported:
      return "gangs are not run here";
    case RejectionReason::team_limit_exceeded:
      return "more than the team's limit";
    case RejectionReason::record_too_large:
      return "the job's description is too large to be stored";
  }
  return "";
}

tl::expected<AdmittedJob, RejectionReason> AdmissionCheck::check(
    JobSpec job, const std::vector<MachineType>& machine_types) const {
  const auto team =
      std::find_if(settings_.teams.begin(), settings_.teams.end(),
                   [&](const auto& configured_team) { return configured_team.name == job.team; });
  if (team == settings_.teams.end()) return tl::unexpected(RejectionReason::unknown_team);
  std::vector<std::string> allowed_types;
  bool fits = false;
  for (const auto& type : machine_types) {
    if (!allows_type(job, type)) continue;
    allowed_types.push_back(type.name);
    fits = fits || (allows_zone_of(job, type) && job.task_resources.fits(type.size));
  }
  if (!fits) return tl::unexpected(RejectionReason::no_fitting_machine_type);
  if (job.kind == JobKind::gang && !settings_.gang_times)
    return tl::unexpected(RejectionReason::gangs_not_supported);
  if (exceeds_team_limit(job, *team)) return tl::unexpected(RejectionReason::team_limit_exceeded);
  if (job.types) job.types = std::move(allowed_types);
  return AdmittedJob{std::move(job)};
}

}  // namespace poppystile::coordination
