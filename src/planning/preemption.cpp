#include "planning/preemption.hpp"

#include <algorithm>

#include "constants.hpp"

namespace poppystile::planning {

using cluster::Job;
using cluster::Placement;
using protocol::JobSpec;
using protocol::Resources;

bool Preemption::reserve_for_task(const Job& waiting_job) {
  const JobSpec& job = waiting_job.spec();
  if (reserve_being_freed(job)) return true;
  if (!count_search()) return false;
  const auto best = find_best_victims(waiting_job);
  if (!best) return false;
  for (const Placement* victim : best->placements) preempt(*best->slot, *victim);
  best->slot->being_freed -= job.task_resources;
  return true;
}

bool Preemption::reserve_for_gang(const Job& waiting_job, const std::string& zone) {
  if (!count_search()) return false;
  const auto shares = find_gang_shares(waiting_job, zone);
  if (!shares) return false;
  for (const GangShare& share : *shares) apply(share, waiting_job.spec());
  return true;
}

bool Preemption::count_search() { return ++searches_ <= constants::max_preemption_searches; }

bool Preemption::reserve_being_freed(const JobSpec& job) {
  for (auto& slot : draft_.slots()) {
    if (slot.being_freed.cpus <= 0) continue;
    if (!draft_.is_allowed(slot, job) || !job.task_resources.fits(slot.free_after_stops()))
      continue;
    slot.being_freed -= job.task_resources;
    return true;
  }
  return false;
}

std::optional<Preemption::BestVictims> Preemption::find_best_victims(const Job& waiting_job) {
  std::optional<BestVictims> best;
  for (auto& slot : draft_.slots()) {
    if (!draft_.is_allowed(slot, waiting_job.spec())) continue;
    auto placements = victim_selector_.victims_for_task(slot, waiting_job);
    std::size_t cost = 0;
    for (const Placement* victim : placements) cost += victim_selector_.cost(*victim);
    if (placements.empty() || (best && cost >= best->cost)) continue;
    best = BestVictims{&slot, std::move(placements), cost};
    if (cost == 1) break;
  }
  return best;
}

std::optional<std::vector<Preemption::GangShare>> Preemption::find_gang_shares(
    const Job& waiting_job, const std::string& zone) {
  std::int64_t unassigned_tasks = waiting_job.schedulable_tasks();
  std::vector<GangShare> shares;
  for (auto& slot : draft_.slots()) {
    if (unassigned_tasks <= 0) break;
    if (!zone.empty() && slot.machine->zone != zone) continue;
    if (!draft_.is_allowed(slot, waiting_job.spec())) continue;
    GangShare share = make_gang_share(slot, waiting_job, unassigned_tasks);
    unassigned_tasks -= share.task_count;
    if (share.task_count > 0) shares.push_back(std::move(share));
  }
  if (unassigned_tasks > 0) return std::nullopt;
  return shares;
}

Preemption::GangShare Preemption::make_gang_share(MachineSlot& slot, const Job& waiting_job,
                                                  std::int64_t unassigned_tasks) const {
  const JobSpec& job = waiting_job.spec();
  GangShare share{&slot, 0, {}};
  Resources available_resources = slot.free_after_stops();
  for (const Placement* victim : victim_selector_.candidates(slot, waiting_job)) {
    if (job.task_resources.times_in(available_resources) >= unassigned_tasks) break;
    available_resources += victim->task_resources;
    share.victims.push_back(victim);
  }
  share.task_count = std::min(unassigned_tasks, job.task_resources.times_in(available_resources));
  return share;
}

void Preemption::apply(const GangShare& share, const JobSpec& gang) {
  // A victim that belongs to a gang may have been preempted already, with another task of its gang.
  for (const Placement* victim : share.victims)
    if (!draft_.is_preempted(*victim)) preempt(*share.slot, *victim);
  for (std::int64_t i = 0; i < share.task_count; ++i) {
    if (gang.task_resources.fits(share.slot->free)) {
      draft_.reserve(*share.slot, gang);
    } else {
      share.slot->being_freed -= gang.task_resources;
    }
  }
}

void Preemption::preempt(MachineSlot& slot, const Placement& placement) {
  const Job& owner = draft_.cluster_state().jobs.at(placement.job);
  if (owner.is_gang()) {
    draft_.preempt_gang(owner);
  } else {
    draft_.preempt(slot, placement);
  }
}

}  // namespace poppystile::planning
