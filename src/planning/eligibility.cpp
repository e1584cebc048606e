#include "planning/eligibility.hpp"

#include <algorithm>

#include "constants.hpp"

namespace poppystile::planning {

using cluster::Machine;
using protocol::JobSpec;

bool may_run_on(const JobSpec& job, const Machine& machine) {
  if (machine.spot && !job.spot) return false;
  if (job.zone && *job.zone != machine.zone) return false;
  return !job.types ||
         std::find(job.types->begin(), job.types->end(), machine.type) != job.types->end();
}

bool takes_tasks(const Machine& machine, double now_s) {
  return machine.has_reported && machine.has_acknowledged_token && !machine.is_unresponsive &&
         !machine.is_overdue && !machine.releasing && !machine.draining &&
         !machine.preemption_noticed && !machine.quarantined && machine.avoid_until_s <= now_s;
}

double believed_run_s(const JobSpec& job) {
  return std::max(job.estimate_s, constants::min_estimate_s);
}

std::optional<double> due_s(const JobSpec& job, const std::vector<protocol::FinishAim>& aims) {
  if (job.deadline_s) return job.deadline_s;
  std::optional<double> due;
  for (const auto& aim : aims)
    if (aim.job_class == job.job_class) due = std::min(due.value_or(aim.within_s), aim.within_s);
  return due;
}

}  // namespace poppystile::planning
