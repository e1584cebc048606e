#include "planning/planner.hpp"

#include <algorithm>
#include <functional>
#include <map>

#include "planning/array_placement.hpp"
#include "planning/gang_placement.hpp"
#include "planning/job_order.hpp"
#include "planning/plan_draft.hpp"
#include "planning/preemption.hpp"
#include "planning/service_placement.hpp"

namespace poppystile::planning {

using cluster::Job;
using protocol::JobKind;

namespace {

using JobsByPriority = std::map<int, std::vector<const Job*>, std::greater<>>;

/// Jobs with tasks that may be placed now.
struct SchedulableJobs {
  std::vector<const Job*> services;
  std::vector<const Job*> starved_arrays;  // Starved arrays of all priorities.
  JobsByPriority gangs;
  JobsByPriority arrays;  // All other arrays.

  bool is_empty() const {
    return services.empty() && starved_arrays.empty() && gangs.empty() && arrays.empty();
  }
};

/// Whether a new attempt of the gang may be placed, or lost tasks of its attempt be replaced.
bool is_gang_schedulable(const Job& gang, const PlanningContext& context) {
  return gang.placements.empty() ||
         gang.may_replace_tasks(context.now, context.gang_task_replacement_window);
}

SchedulableJobs find_schedulable_jobs(const cluster::ClusterState& cluster_state,
                                      const JobOrder& order, const PlanningContext& context) {
  SchedulableJobs found;
  for (const auto& [id, job] : cluster_state.jobs) {
    if (job.record.cancelled || job.schedulable_tasks() == 0 || job.retry_at > context.now)
      continue;
    const int priority = static_cast<int>(job.spec().priority);
    if (job.spec().kind == JobKind::service) {
      found.services.push_back(&job);
    } else if (job.is_gang()) {
      if (is_gang_schedulable(job, context)) found.gangs[priority].push_back(&job);
    } else if (order.is_starved(job)) {
      found.starved_arrays.push_back(&job);
    } else {
      found.arrays[priority].push_back(&job);
    }
  }
  return found;
}

void sort_jobs(SchedulableJobs& jobs, JobOrder& order) {
  for (const auto& [priority, arrays] : jobs.arrays)
    for (const Job* array : arrays) order.add_array(*array);
  const auto before = [&order](const Job* a, const Job* b) { return order.before(a, b); };
  std::stable_sort(jobs.services.begin(), jobs.services.end(), before);
  std::stable_sort(jobs.starved_arrays.begin(), jobs.starved_arrays.end(),
                   JobOrder::accepted_before);
  for (auto& [priority, gangs] : jobs.gangs) std::stable_sort(gangs.begin(), gangs.end(), before);
  for (auto& [priority, arrays] : jobs.arrays)
    std::stable_sort(arrays.begin(), arrays.end(), before);
}

}  // namespace

const char* to_string(GangWaitReason reason) {
  switch (reason) {
    case GangWaitReason::team_limit:
      return "the team's remaining quota is too small for all tasks";
    case GangWaitReason::insufficient_resources:
      return "not enough resources for all tasks at once";
    case GangWaitReason::resources_being_freed:
      return "other tasks are stopping to free resources";
  }
  return "";
}

Plan make_plan(const cluster::ClusterState& cluster_state, const PlanningContext& context) {
  JobOrder order(cluster_state, context);
  SchedulableJobs schedulable = find_schedulable_jobs(cluster_state, order, context);
  if (schedulable.is_empty()) return {};
  sort_jobs(schedulable, order);

  PlanDraft draft(cluster_state, context);
  Preemption preemption(draft, order);
  ServicePlacement service_placement(draft, preemption);
  for (const Job* service : schedulable.services) service_placement.place(*service);
  ArrayPlacement array_placement(draft, order, preemption);
  array_placement.place_batches(schedulable.starved_arrays);
  GangPlacement gang_placement(draft, preemption);
  for (int priority = static_cast<int>(protocol::Priority::production); priority >= 0; --priority) {
    // Gangs before arrays: a gang needs resources for all its tasks at once, which arrays would use
    // up one task at a time.
    for (const Job* gang : schedulable.gangs[priority]) gang_placement.place(*gang);
    const auto& arrays = schedulable.arrays[priority];
    array_placement.place_batches(arrays);
    array_placement.place_guaranteed(arrays);
    array_placement.place_on_machines_with_image(arrays);
    array_placement.place_overdue_first_tasks(arrays);
  }
  return draft.take_plan();
}

}  // namespace poppystile::planning
