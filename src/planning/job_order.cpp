#include "planning/job_order.hpp"

#include <algorithm>
#include <cmath>

#include "constants.hpp"

namespace poppystile::planning {

using cluster::Job;

JobOrder::JobOrder(const cluster::ClusterState& cluster_state, const PlanningContext& context)
    : cluster_state_(cluster_state), context_(context) {
  find_guaranteed();
}

void JobOrder::add_array(const Job& job) { keys_[&job] = key_of(job); }

bool JobOrder::before(const Job* a, const Job* b) const {
  if (a->spec().priority != b->spec().priority) return a->spec().priority > b->spec().priority;
  if (is_guaranteed(*a) != is_guaranteed(*b)) return is_guaranteed(*a);
  const auto a_key = keys_.find(a);
  const auto b_key = keys_.find(b);
  if (a_key != keys_.end() && b_key != keys_.end()) {
    const SchedulingKey& x = a_key->second;
    const SchedulingKey& y = b_key->second;
    if (x.rank != y.rank) return x.rank < y.rank;
    if (x.at != y.at) return x.at < y.at;
  }
  return accepted_before(a, b);
}

bool JobOrder::accepted_before(const Job* a, const Job* b) {
  if (a->record.accepted_at != b->record.accepted_at)
    return a->record.accepted_at < b->record.accepted_at;
  return a->spec().id < b->spec().id;
}

// Arrays that can still be nearly in time go by the latest start that is; what is overdue goes
// after them, by age.
SchedulingKey JobOrder::key_of(const Job& job) const {
  const WallTime submitted = job.record.accepted_at;
  const Seconds due =
      constants::late_due *
      due_after(job.spec(), *context_.finish_aims).value_or(constants::default_due_after);
  const WallTime latest = submitted + due - expected_run_time(job.spec());
  if (context_.wall_now <= latest) return {1, latest};
  return {2, submitted};
}

bool JobOrder::is_starved(const Job& job) const {
  return has_waited(job, constants::starvation_wait);
}

bool JobOrder::must_begin(const Job& job) const {
  return has_waited(job, constants::first_task_wait);
}

// With none of its tasks begun.
bool JobOrder::has_waited(const Job& job, Seconds wait) const {
  return job.waiting() == job.spec().tasks && context_.wall_now - job.record.accepted_at > wait;
}

void JobOrder::find_guaranteed() {
  std::map<std::string, std::vector<const Job*>> by_team;
  for (const auto& [id, job] : cluster_state_.jobs)
    if (!job.record.cancelled) by_team[job.spec().team].push_back(&job);
  for (const auto& team : *context_.teams) {
    auto& jobs = by_team[team.name];
    std::sort(jobs.begin(), jobs.end(), accepted_before);
    std::int64_t cpus = 0;
    std::int64_t gpus = 0;
    for (const Job* job : jobs) {
      cpus += job->spec().each.cpus * job->spec().tasks;
      gpus += job->spec().each.gpus * job->spec().tasks;
      if (cpus <= std::llround(team.cpus * 1000) && gpus <= std::llround(team.gpus * 1000))
        guaranteed_.insert(job);
    }
  }
}

}  // namespace poppystile::planning
