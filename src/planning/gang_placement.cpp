#include "planning/gang_placement.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

#include "constants.hpp"
#include "planning/eligibility.hpp"

namespace poppystile::planning {

using cluster::Job;
using protocol::JobSpec;

namespace {

/// Whether the machine is in `zone`; every machine is if `zone` is empty.
bool is_in_zone(const MachineSlot& slot, const std::string& zone) {
  return zone.empty() || slot.machine->zone == zone;
}

}  // namespace

void GangPlacement::place(const Job& job) {
  if (place_all_tasks(job)) return;
  // Replacements cannot wait until preempted tasks have stopped: the attempt would time out.
  if (!job.placements.empty()) return;
  const std::string& id = job.spec().id;
  if (draft_.quotas().remaining_tasks(job.spec()) < job.schedulable_tasks()) {
    draft_.record_waiting_gang(id, GangWaitReason::team_limit);
  } else if (preempt_in_any_zone(job)) {
    return draft_.record_waiting_gang(id, GangWaitReason::resources_being_freed);
  } else {
    draft_.record_waiting_gang(id, GangWaitReason::insufficient_resources);
  }
  reserve_free_resources(job);
}

bool GangPlacement::place_all_tasks(const Job& job) {
  const JobSpec& spec = job.spec();
  if (draft_.quotas().remaining_tasks(spec) < job.schedulable_tasks()) return false;
  std::optional<Assignment> best;
  for (const std::string& zone : zones_to_try(spec)) {
    auto found = find_assignment(job, zone);
    if (found && (!best || found->fetch_time < best->fetch_time)) best = std::move(found);
  }
  if (!best) return false;
  for (const Share& share : best->shares)
    for (std::uint32_t i = 0; i < share.task_count; ++i) draft_.place(*share.slot, spec);
  return true;
}

bool GangPlacement::preempt_in_any_zone(const Job& job) {
  const auto zones = zones_to_try(job.spec());
  return std::any_of(zones.begin(), zones.end(), [&](const std::string& zone) {
    return preemption_.reserve_for_gang(job, zone);
  });
}

std::vector<std::string> GangPlacement::zones_to_try(const JobSpec& job) const {
  if (!job.one_zone) return {""};
  std::set<std::string> zones;
  for (const auto& slot : draft_.slots()) zones.insert(slot.machine->zone);
  return {zones.begin(), zones.end()};
}

std::vector<MachineSlot*> GangPlacement::find_candidates(const Job& job, const std::string& zone) {
  const JobSpec& spec = job.spec();
  std::vector<MachineSlot*> candidates;
  for (auto& slot : draft_.slots()) {
    if (!is_in_zone(slot, zone)) continue;
    // The start command of a lost task may reach its former machine again, which would then run
    // the task beside its replacement.
    if (job.gang.machines_with_lost_tasks.contains(slot.machine->id)) continue;
    if (draft_.fits(slot, spec)) candidates.push_back(&slot);
  }
  std::sort(candidates.begin(), candidates.end(), [&](const MachineSlot* a, const MachineSlot* b) {
    const Seconds fetch_a = image_fetch_time(*a, spec);
    const Seconds fetch_b = image_fetch_time(*b, spec);
    if (fetch_a != fetch_b) return fetch_a < fetch_b;
    if (a->free.cpus != b->free.cpus) return a->free.cpus > b->free.cpus;
    return a->machine->id < b->machine->id;
  });
  return candidates;
}

std::optional<GangPlacement::Assignment> GangPlacement::find_assignment(const Job& job,
                                                                        const std::string& zone) {
  const JobSpec& spec = job.spec();
  Assignment assignment;
  std::uint32_t unassigned_tasks = job.schedulable_tasks();
  std::map<std::string, std::uint32_t> remaining_by_zone;
  for (MachineSlot* slot : find_candidates(job, zone)) {
    const std::string& slot_zone = slot->machine->zone;
    const std::uint32_t zone_limit = draft_.zone_limits().remaining_tasks(spec, slot_zone);
    auto& remaining = remaining_by_zone.try_emplace(slot_zone, zone_limit).first->second;
    const std::uint32_t count = std::min({slot->task_capacity(spec), unassigned_tasks, remaining});
    if (count == 0) continue;
    assignment.shares.push_back({slot, count});
    assignment.fetch_time = std::max(assignment.fetch_time, image_fetch_time(*slot, spec));
    remaining -= count;
    unassigned_tasks -= count;
    if (unassigned_tasks == 0) return assignment;
  }
  return std::nullopt;
}

bool GangPlacement::may_reserve(const Job& job) const {
  const Seconds waited = draft_.context().wall_now - job.record.accepted_at;
  const Seconds time_in_period{
      std::fmod(std::max(0.0, waited.count()), constants::gang_reservation_period.count())};
  return time_in_period < constants::gang_reservation_time;
}

std::optional<std::string> GangPlacement::find_zone_to_reserve(const Job& job) const {
  const JobSpec& spec = job.spec();
  std::optional<std::string> best_zone;
  std::uint32_t most_free_tasks = 0;
  for (const std::string& zone : zones_to_try(spec)) {
    std::int64_t attainable_tasks = 0;
    std::uint32_t free_tasks = 0;
    for (const auto& slot : draft_.slots()) {
      if (!is_in_zone(slot, zone) || !may_run_on(spec, *slot.machine)) continue;
      attainable_tasks += spec.task_resources.times_in(slot.array_capacity);
      free_tasks += slot.task_capacity(spec);
    }
    if (attainable_tasks < job.schedulable_tasks()) continue;
    if (best_zone && free_tasks <= most_free_tasks) continue;
    best_zone = zone;
    most_free_tasks = free_tasks;
  }
  return best_zone;
}

void GangPlacement::reserve_free_resources(const Job& job) {
  if (!may_reserve(job)) return;
  const auto zone = find_zone_to_reserve(job);
  if (!zone) return;
  const JobSpec& spec = job.spec();
  std::uint32_t unassigned_tasks = job.schedulable_tasks();
  draft_.quotas().add(spec, unassigned_tasks);
  for (MachineSlot* slot : find_candidates(job, *zone))
    for (; unassigned_tasks > 0 && draft_.fits(*slot, spec); --unassigned_tasks)
      draft_.reserve(*slot, spec);
}

}  // namespace poppystile::planning
