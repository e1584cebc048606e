#include "coordination/leader/task_stopper.hpp"

namespace poppystile::coordination {

using cluster::Job;
using cluster::Placement;
using GangPhase = cluster::GangAttempt::Phase;

void TaskStopper::stop_task(Placement& placement) const {
  Job* job = cluster_state_.job(placement.job);
  if (job != nullptr && job->is_gang()) return GangTracker::stop(*job);
  placement.stopping = true;
}

void TaskStopper::stop_job(const std::string& id) const {
  Job* job = cluster_state_.job(id);
  if (job == nullptr) return;
  job->for_each_placement([](Placement& placement) { placement.stopping = true; });
}

Seconds TaskStopper::grace_period(const Job* job) const {
  if (job == nullptr || job->record.cancelled || job->spec().checkpoint_interval <= Seconds{0})
    return Seconds{0};
  if (!job->is_gang()) return job->spec().checkpoint_save_time;
  const bool can_save =
      job->gang.phase == GangPhase::running || job->gang.phase == GangPhase::stopping;
  return can_save ? gangs_.stop_grace(*job) : Seconds{0};
}

}  // namespace poppystile::coordination
