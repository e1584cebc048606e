#include "planning/preemption.hpp"

#include <algorithm>

#include "constants.hpp"

namespace poppystile::planning {

using bookkeeping::Job;
using bookkeeping::Placement;
using bookkeeping::PlacementPhase;
using protocol::JobKind;
using protocol::JobSpec;
using protocol::Resources;

bool Preemption::make_room(const Job& waiting) {
  const JobSpec& job = waiting.spec();
  if (reserve_stopping(job)) return true;
  if (++searches_ > constants::max_looks_for_room) return false;
  MachineSlot* best = nullptr;
  std::vector<const Placement*> fewest;
  for (auto& slot : draft_.slots()) {
    if (!may_use(slot, job)) continue;
    auto victims = victims_on(slot, waiting);
    if (victims.empty() || (best != nullptr && victims.size() >= fewest.size())) continue;
    best = &slot;
    fewest = std::move(victims);
    if (fewest.size() == 1) break;
  }
  if (best == nullptr) return false;
  for (const Placement* each : fewest) {
    stopped_.insert(each);
    draft_.stop(*best, *each);
  }
  best->stopping -= job.each;
  return true;
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

std::vector<const Placement*> Preemption::victims_on(const MachineSlot& slot,
                                                     const Job& waiting) const {
  const JobSpec& job = waiting.spec();
  const auto& jobs = draft_.model().jobs;
  std::vector<const Placement*> candidates;
  for (const auto& placement : slot.machine->placements) {
    const auto owner = jobs.find(placement.job);
    if (owner == jobs.end() || placement.stopping || stopped_.contains(&placement) ||
        placement.phase == PlacementPhase::exited)
      continue;
    if (yields_to(owner->second, waiting)) candidates.push_back(&placement);
  }
  // The youngest lose the least.
  std::sort(candidates.begin(), candidates.end(),
            [](auto* a, auto* b) { return a->since_s > b->since_s; });
  std::vector<const Placement*> chosen;
  Resources room = slot.room;
  room += slot.stopping;
  for (const Placement* each : candidates) {
    if (job.each.fits(room)) break;
    room += each->each;
    chosen.push_back(each);
  }
  if (!job.each.fits(room)) chosen.clear();
  return chosen;
}

}  // namespace poppystile::planning
