#include "planning/planner.hpp"

#include <algorithm>
#include <functional>
#include <map>

#include "constants.hpp"
#include "planning/array_batches.hpp"
#include "planning/gang_placement.hpp"
#include "planning/job_order.hpp"
#include "planning/plan_draft.hpp"
#include "planning/preemption.hpp"
#include "planning/service_placement.hpp"

namespace poppystile::planning {

using cluster::Job;
using protocol::JobKind;

namespace {

// Jobs with tasks that may be placed now.
struct WaitingJobs {
  std::vector<const Job*> services;
  std::vector<const Job*> starved;  // arrays of whatever priority that have waited long
  // By priority.
  std::map<int, std::vector<const Job*>, std::greater<>> gangs;
  std::map<int, std::vector<const Job*>, std::greater<>> arrays;

  bool empty() const {
    return services.empty() && starved.empty() && gangs.empty() && arrays.empty();
  }
};

// Whole, or with tasks to be replaced before it has begun.
bool may_be_placed(const cluster::ClusterState& cluster_state, const Job& gang,
                   const PlanningContext& context) {
  return gang.placements.empty() ||
         cluster_state.may_replace_tasks(gang, context.now, context.gang_task_replacement_window);
}

WaitingJobs waiting_jobs(const cluster::ClusterState& cluster_state, const JobOrder& order,
                         const PlanningContext& context) {
  WaitingJobs out;
  for (const auto& [id, job] : cluster_state.jobs) {
    if (job.record.cancelled || job.schedulable_tasks() == 0 || job.retry_at > context.now)
      continue;
    if (job.spec().kind == JobKind::service) {
      out.services.push_back(&job);
    } else if (job.is_gang()) {
      if (may_be_placed(cluster_state, job, context))
        out.gangs[static_cast<int>(job.spec().priority)].push_back(&job);
    } else if (order.is_starved(job)) {
      out.starved.push_back(&job);
    } else {
      out.arrays[static_cast<int>(job.spec().priority)].push_back(&job);
    }
  }
  return out;
}

}  // namespace

const char* to_string(GangWaitReason reason) {
  switch (reason) {
    case GangWaitReason::team_limit:
      return "team limit";
    case GangWaitReason::no_room:
      return "no room for all tasks";
    case GangWaitReason::making_room:
      return "room is being made";
  }
  return "";
}

Plan make_plan(const cluster::ClusterState& cluster_state, const PlanningContext& context) {
  JobOrder order(cluster_state, context);
  WaitingJobs waiting = waiting_jobs(cluster_state, order, context);
  if (waiting.empty()) return {};
  PlanDraft draft(cluster_state, context);
  draft.add_slots();
  for (const auto& [priority, jobs] : waiting.arrays)
    for (const Job* job : jobs) order.add_array(*job);
  const auto before = [&order](const Job* a, const Job* b) { return order.before(a, b); };
  Preemption preemption(draft, order);

  ServicePlacement services(draft, preemption);
  std::stable_sort(waiting.services.begin(), waiting.services.end(), before);
  for (const Job* job : waiting.services) services.place(*job);

  ArrayBatches batches(draft, order, preemption);
  std::stable_sort(waiting.starved.begin(), waiting.starved.end(), JobOrder::accepted_before);
  batches.place(waiting.starved);
  GangPlacement gang_placement(draft, order, preemption);
  for (int priority = static_cast<int>(protocol::Priority::production); priority >= 0; --priority) {
    // Gangs first: they need room together, which single tasks would take piece by piece.
    auto& gangs = waiting.gangs[priority];
    std::stable_sort(gangs.begin(), gangs.end(), before);
    for (const Job* gang : gangs) gang_placement.place(*gang);
    auto& jobs = waiting.arrays[priority];
    std::stable_sort(jobs.begin(), jobs.end(), before);
    batches.place(jobs);
    batches.claim_guarantees(jobs);
    batches.fill_holders(jobs);
    batches.begin_overdue(jobs);
  }
  return draft.take();
}

}  // namespace poppystile::planning
