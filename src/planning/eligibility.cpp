#include "planning/eligibility.hpp"

#include <algorithm>

#include "constants.hpp"

namespace poppystile::planning {

using cluster::Job;
using cluster::Machine;
using protocol::JobSpec;

bool may_run_on(const JobSpec& job, const Machine& machine) {
  return may_run_on(job, machine.type, machine.zone, machine.spot);
}

bool may_run_on(const JobSpec& job, const std::string& type, const std::string& zone, bool spot) {
  if (spot && !job.spot) return false;
  if (job.zone && *job.zone != zone) return false;
  return !job.types || std::find(job.types->begin(), job.types->end(), type) != job.types->end();
}

bool is_schedulable(const Machine& machine, SteadyTime now) {
  return machine.has_reported && machine.has_acknowledged_token && !machine.is_unresponsive &&
         !machine.is_overdue && !machine.releasing && !machine.draining &&
         !machine.preemption_noticed && !machine.quarantined && machine.avoid_until <= now;
}

bool can_preempt_gang(const Job& gang) {
  return std::all_of(gang.placements.begin(), gang.placements.end(), [](const auto& entry) {
    const Machine& machine = *entry.second;
    return machine.has_reported && machine.has_acknowledged_token && !machine.is_overdue &&
           !machine.is_unresponsive;
  });
}

Seconds expected_run_time(const JobSpec& job) {
  return std::max(job.estimated_run_time, constants::min_estimated_run_time);
}

std::optional<Seconds> completion_target(const JobSpec& job,
                                         const std::vector<protocol::FinishObjective>& aims) {
  if (job.deadline) return job.deadline;
  std::optional<Seconds> target;
  for (const auto& aim : aims)
    if (aim.job_class == job.job_class)
      target = std::min(target.value_or(aim.time_limit), aim.time_limit);
  return target;
}

}  // namespace poppystile::planning
