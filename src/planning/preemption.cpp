#include "planning/preemption.hpp"

#include <algorithm>

#include "constants.hpp"

namespace poppystile::planning {

using cluster::Job;
using cluster::Placement;
using cluster::PlacementPhase;
using protocol::JobKind;
using protocol::JobSpec;
using protocol::Resources;

bool Preemption::make_room(const Job& waiting) {
  const JobSpec& job = waiting.spec();
  if (reserve_stopping(job)) return true;
  if (++searches_ > constants::max_looks_for_room) return false;
  MachineSlot* best = nullptr;
  std::vector<const Placement*> fewest;
  std::size_t least_cost = 0;
  for (auto& slot : draft_.slots()) {
    if (!may_use(slot, job)) continue;
    auto victims = victims_on(slot, waiting);
    std::size_t cost = 0;
    for (const Placement* each : victims) cost += cost_of(*each);
    if (victims.empty() || (best != nullptr && cost >= least_cost)) continue;
    best = &slot;
    least_cost = cost;
    fewest = std::move(victims);
    if (least_cost == 1) break;
  }
  if (best == nullptr) return false;
  for (const Placement* each : fewest) stop(*best, *each);
  best->stopping -= job.each;
  return true;
}

bool Preemption::make_room_for_gang(const Job& waiting, const std::string& zone) {
  const JobSpec& job = waiting.spec();
  if (++searches_ > constants::max_looks_for_room) return false;
  std::int64_t missing = waiting.schedulable_tasks();
  struct Use {
    MachineSlot* slot;
    std::int64_t tasks;
    std::vector<const Placement*> victims;
  };
  std::vector<Use> uses;
  for (auto& slot : draft_.slots()) {
    if (missing <= 0) break;
    if ((!zone.empty() && slot.machine->zone != zone) || !may_use(slot, job)) continue;
    Resources room = slot.room;
    room += slot.stopping;
    Use use{&slot, 0, {}};
    for (const Placement* each : yielding_on(slot, waiting)) {
      if (job.each.times_in(room) >= missing) break;
      room += each->each;
      use.victims.push_back(each);
    }
    use.tasks = std::min(missing, job.each.times_in(room));
    missing -= use.tasks;
    if (use.tasks > 0) uses.push_back(std::move(use));
  }
  if (missing > 0) return false;
  for (const Use& use : uses) {
    for (const Placement* each : use.victims)
      if (!stopped_.contains(each)) stop(*use.slot, *each);
    // The room is the gang's: what is free now, and what is on its way.
    for (std::int64_t i = 0; i < use.tasks; ++i) {
      if (job.each.fits(use.slot->room)) {
        draft_.reserve(*use.slot, job);
      } else {
        use.slot->stopping -= job.each;
      }
    }
  }
  return true;
}

std::size_t Preemption::cost_of(const Placement& placement) const {
  const Job& owner = draft_.cluster_state().jobs.at(placement.job);
  return owner.is_gang() ? owner.placements.size() : 1;
}

void Preemption::stop(MachineSlot& slot, const Placement& placement) {
  const Job& owner = draft_.cluster_state().jobs.at(placement.job);
  if (!owner.is_gang()) {
    stopped_.insert(&placement);
    return draft_.stop(slot, placement);
  }
  for (const auto& [index, machine] : owner.placements)
    for (const auto& each : machine->placements)
      if (each.index == index && each.job == placement.job) stopped_.insert(&each);
  draft_.stop_gang(owner);
}

bool Preemption::may_use(const MachineSlot& slot, const JobSpec& job) {
  return may_run_on(job, *slot.machine) && draft_.zone_allows(job, slot.machine->zone);
}

bool Preemption::reserve_stopping(const JobSpec& job) {
  for (auto& slot : draft_.slots()) {
    if (slot.stopping.cpus <= 0) continue;
    Resources room = slot.room;
    room += slot.stopping;
    if (!may_use(slot, job) || !job.each.fits(room)) continue;
    slot.stopping -= job.each;
    return true;
  }
  return false;
}

bool Preemption::yields_to(const Job& owner, const Job& waiting) const {
  if (owner.spec().priority < waiting.spec().priority) return true;
  // A replica of higher priority is left alone: its pause costs its users more than the wait.
  if (owner.spec().kind == JobKind::service && owner.spec().priority > waiting.spec().priority)
    return false;
  return owner.spec().team != waiting.spec().team && order_.is_guaranteed(waiting) &&
         !order_.is_guaranteed(owner);
}

std::vector<const Placement*> Preemption::yielding_on(const MachineSlot& slot,
                                                      const Job& waiting) const {
  const auto& jobs = draft_.cluster_state().jobs;
  std::vector<const Placement*> candidates;
  for (const auto& placement : slot.machine->placements) {
    const auto owner = jobs.find(placement.job);
    if (owner == jobs.end() || placement.stopping || stopped_.contains(&placement) ||
        placement.phase == PlacementPhase::exited)
      continue;
    // A gang that cannot be told to stop in time would lose what it has not saved.
    if (owner->second.is_gang() && !draft_.can_stop_together(owner->second)) continue;
    if (yields_to(owner->second, waiting)) candidates.push_back(&placement);
  }
  // Single tasks before gangs; the youngest lose the least.
  std::sort(candidates.begin(), candidates.end(), [this](auto* a, auto* b) {
    const std::size_t cost_a = cost_of(*a);
    const std::size_t cost_b = cost_of(*b);
    return cost_a != cost_b ? cost_a < cost_b : a->phase_started_at > b->phase_started_at;
  });
  return candidates;
}

std::vector<const Placement*> Preemption::victims_on(const MachineSlot& slot,
                                                     const Job& waiting) const {
  const JobSpec& job = waiting.spec();
  std::vector<const Placement*> chosen;
  Resources room = slot.room;
  room += slot.stopping;
  for (const Placement* each : yielding_on(slot, waiting)) {
    if (job.each.fits(room)) break;
    room += each->each;
    chosen.push_back(each);
  }
  if (!job.each.fits(room)) chosen.clear();
  return chosen;
}

}  // namespace poppystile::planning
