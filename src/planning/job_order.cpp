#include "planning/job_order.hpp"

#include <algorithm>
#include <cmath>
#include <vector>

#include "constants.hpp"
#include "planning/eligibility.hpp"

namespace poppystile::planning {

using cluster::Job;

JobOrder::JobOrder(const cluster::ClusterState& cluster_state, const PlanningContext& context)
    : cluster_state_(cluster_state), context_(context) {
  find_guaranteed_jobs();
}

void JobOrder::add_array(const Job& job) { keys_[&job] = make_key(job); }

bool JobOrder::before(const Job* a, const Job* b) const {
  if (a->spec().priority != b->spec().priority) return a->spec().priority > b->spec().priority;
  if (is_guaranteed(*a) != is_guaranteed(*b)) return is_guaranteed(*a);
  const auto found_a = keys_.find(a);
  const auto found_b = keys_.find(b);
  if (found_a != keys_.end() && found_b != keys_.end()) {
    const SchedulingKey& key_a = found_a->second;
    const SchedulingKey& key_b = found_b->second;
    if (key_a.status != key_b.status) return key_a.status < key_b.status;
    if (key_a.time != key_b.time) return key_a.time < key_b.time;
  }
  return accepted_before(a, b);
}

bool JobOrder::accepted_before(const Job* a, const Job* b) {
  if (a->record.accepted_at != b->record.accepted_at)
    return a->record.accepted_at < b->record.accepted_at;
  return a->spec().id < b->spec().id;
}

SchedulingKey JobOrder::make_key(const Job& job) const {
  const WallTime submitted = job.record.accepted_at;
  const Seconds time_limit =
      constants::overdue_target_factor * completion_target(job.spec(), *context_.finish_objectives)
                                             .value_or(constants::default_completion_target);
  const WallTime latest_start = submitted + time_limit - expected_run_time(job.spec());
  if (context_.wall_now <= latest_start) return {DeadlineStatus::attainable, latest_start};
  return {DeadlineStatus::missed, submitted};
}

bool JobOrder::is_starved(const Job& job) const {
  return has_waited_longer_than(job, constants::starvation_wait);
}

bool JobOrder::is_first_task_overdue(const Job& job) const {
  return has_waited_longer_than(job, constants::max_first_task_wait);
}

bool JobOrder::has_waited_longer_than(const Job& job, Seconds wait) const {
  return job.waiting() == job.spec().tasks && context_.wall_now - job.record.accepted_at > wait;
}

void JobOrder::find_guaranteed_jobs() {
  std::map<std::string, std::vector<const Job*>> jobs_by_team;
  for (const auto& [id, job] : cluster_state_.jobs)
    if (!job.record.cancelled) jobs_by_team[job.spec().team].push_back(&job);
  for (const auto& team : *context_.teams) {
    auto& jobs = jobs_by_team[team.name];
    std::sort(jobs.begin(), jobs.end(), accepted_before);
    std::int64_t cpus = 0;
    std::int64_t gpus = 0;
    for (const Job* job : jobs) {
      cpus += job->spec().task_resources.cpus * job->spec().tasks;
      gpus += job->spec().task_resources.gpus * job->spec().tasks;
      if (cpus <= std::llround(team.cpus * 1000) && gpus <= std::llround(team.gpus * 1000))
        guaranteed_.insert(job);
    }
  }
}

}  // namespace poppystile::planning
