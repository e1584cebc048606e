#include "planning/victim_selector.hpp"

#include <algorithm>

#include "planning/eligibility.hpp"

namespace poppystile::planning {

using cluster::Job;
using cluster::Placement;
using cluster::PlacementPhase;
using protocol::JobKind;
using protocol::JobSpec;
using protocol::Resources;

std::size_t VictimSelector::cost(const Placement& placement) const {
  const Job& owner = draft_.cluster_state().jobs.at(placement.job);
  return owner.is_gang() ? owner.placements.size() : 1;
}

bool VictimSelector::yields_to(const Job& owner, const Job& waiting_job) const {
  if (owner.spec().priority < waiting_job.spec().priority) return true;
  // A replica of higher priority is not preempted: its interruption costs its users more than the
  // wait costs the waiting job.
  if (owner.spec().kind == JobKind::service && owner.spec().priority > waiting_job.spec().priority)
    return false;
  return owner.spec().team != waiting_job.spec().team && order_.is_guaranteed(waiting_job) &&
         !order_.is_guaranteed(owner);
}

bool VictimSelector::is_candidate(const Placement& placement, const Job& waiting_job) const {
  const auto& jobs = draft_.cluster_state().jobs;
  const auto owner = jobs.find(placement.job);
  if (owner == jobs.end() || placement.stopping || draft_.is_preempted(placement) ||
      placement.phase == PlacementPhase::exited)
    return false;
  // If a gang's workers do not receive stop commands in time, it loses the state not saved yet.
  if (owner->second.is_gang() && !can_preempt_gang(owner->second)) return false;
  return yields_to(owner->second, waiting_job);
}

std::vector<const Placement*> VictimSelector::candidates(const MachineSlot& slot,
                                                         const Job& waiting_job) const {
  std::vector<const Placement*> found;
  for (const auto& placement : slot.machine->placements)
    if (is_candidate(placement, waiting_job)) found.push_back(&placement);
  std::sort(found.begin(), found.end(), [this](const Placement* a, const Placement* b) {
    const std::size_t cost_a = cost(*a);
    const std::size_t cost_b = cost(*b);
    return cost_a != cost_b ? cost_a < cost_b : a->phase_started_at > b->phase_started_at;
  });
  return found;
}

std::vector<const Placement*> VictimSelector::victims_for_task(const MachineSlot& slot,
                                                               const Job& waiting_job) const {
  const JobSpec& job = waiting_job.spec();
  std::vector<const Placement*> victims;
  Resources available_resources = slot.free_after_stops();
  for (const Placement* candidate : candidates(slot, waiting_job)) {
    if (job.task_resources.fits(available_resources)) break;
    available_resources += candidate->task_resources;
    victims.push_back(candidate);
  }
  if (!job.task_resources.fits(available_resources)) victims.clear();
  return victims;
}

}  // namespace poppystile::planning
