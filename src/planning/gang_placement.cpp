#include "planning/gang_placement.hpp"

#include <algorithm>
#include <cmath>

#include "constants.hpp"

namespace poppystile::planning {

using cluster::Job;
using protocol::JobSpec;

namespace {

Seconds fetch_time_on(const MachineSlot& slot, const JobSpec& job) {
  if (slot.machine->holds(job.image)) return Seconds{0};
  const Seconds one_fetch{job.image_gb / slot.machine->fetch_gb_per_s};
  // Fetches share the machine's rate.
  const auto others = static_cast<double>(slot.fetching.size());
  return one_fetch * (slot.fetches(job.image) ? others : others + 1);
}

std::uint32_t tasks_that_fit(const MachineSlot& slot, const JobSpec& job) {
  const auto by_entries =
      constants::max_tasks_per_machine - std::min(constants::max_tasks_per_machine, slot.entries);
  return static_cast<std::uint32_t>(
      std::min<std::int64_t>(job.each.times_in(slot.room), static_cast<std::int64_t>(by_entries)));
}

}  // namespace

void GangPlacement::place(const Job& job) {
  if (place_whole(job)) return;
  // A replacement must not wait for others' work to be stopped: the attempt would run out of time.
  if (!job.placements.empty()) return;
  const bool within_limit = draft_.team_room(job.spec()) >= job.schedulable_tasks();
  if (within_limit)
    for (const std::string& zone : zones_for(job.spec()))
      if (preemption_.make_room_for_gang(job, zone))
        return draft_.note_waiting_gang(job.spec().id, GangWaitReason::making_room);
  draft_.note_waiting_gang(job.spec().id,
                           within_limit ? GangWaitReason::no_room : GangWaitReason::team_limit);
  hold_room(job);
}

bool GangPlacement::place_whole(const Job& job) {
  const JobSpec& spec = job.spec();
  if (draft_.team_room(spec) < job.schedulable_tasks()) return false;
  std::optional<Assignment> best;
  for (const std::string& zone : zones_for(spec)) {
    auto found = assign(job, zone);
    if (found && (!best || found->fetch_time < best->fetch_time)) best = std::move(found);
  }
  if (!best) return false;
  for (const Share& each : best->shares)
    for (std::uint32_t i = 0; i < each.tasks; ++i) draft_.commit(*each.slot, spec);
  return true;
}

std::vector<std::string> GangPlacement::zones_for(const JobSpec& job) const {
  if (!job.one_zone) return {""};
  std::set<std::string> zones;
  for (const auto& slot : draft_.slots()) zones.insert(slot.machine->zone);
  return {zones.begin(), zones.end()};
}

std::vector<MachineSlot*> GangPlacement::candidates(const Job& job, const std::string& zone) {
  const JobSpec& spec = job.spec();
  std::vector<MachineSlot*> out;
  for (auto& slot : draft_.slots()) {
    if (!zone.empty() && slot.machine->zone != zone) continue;
    // A start that is repeated where its task was forgotten would run beside its replacement.
    if (job.gang.left.contains(slot.machine->id)) continue;
    if (draft_.fits(slot, spec)) out.push_back(&slot);
  }
  std::sort(out.begin(), out.end(), [&](const MachineSlot* a, const MachineSlot* b) {
    const Seconds fetch_a = fetch_time_on(*a, spec);
    const Seconds fetch_b = fetch_time_on(*b, spec);
    if (fetch_a != fetch_b) return fetch_a < fetch_b;
    if (a->room.cpus != b->room.cpus) return a->room.cpus > b->room.cpus;
    return a->machine->id < b->machine->id;
  });
  return out;
}

std::optional<GangPlacement::Assignment> GangPlacement::assign(const Job& job,
                                                               const std::string& zone) {
  const JobSpec& spec = job.spec();
  Assignment out;
  std::uint32_t left = job.schedulable_tasks();
  std::map<std::string, std::uint32_t> zone_room;
  for (MachineSlot* slot : candidates(job, zone)) {
    const std::string& where = slot->machine->zone;
    auto& room = zone_room.try_emplace(where, draft_.zone_room(spec, where)).first->second;
    const std::uint32_t tasks = std::min({tasks_that_fit(*slot, spec), left, room});
    if (tasks == 0) continue;
    out.shares.push_back({slot, tasks});
    out.fetch_time = std::max(out.fetch_time, fetch_time_on(*slot, spec));
    room -= tasks;
    left -= tasks;
    if (left == 0) return out;
  }
  return std::nullopt;
}

bool GangPlacement::may_hold(const Job& job) const {
  const Seconds waited = draft_.context().wall_now - job.record.accepted_at;
  return Seconds{std::fmod(std::max(0.0, waited.count()), constants::gang_hold_period.count())} <
         constants::gang_hold_time;
}

void GangPlacement::hold_room(const Job& job) {
  if (!may_hold(job)) return;
  const JobSpec& spec = job.spec();
  const std::uint32_t count = job.schedulable_tasks();
  std::string best_zone;
  std::uint32_t most_free = 0;
  bool found = false;
  for (const std::string& zone : zones_for(spec)) {
    std::int64_t ever = 0;
    std::uint32_t free = 0;
    for (const auto& slot : draft_.slots()) {
      if ((!zone.empty() && slot.machine->zone != zone) || !may_run_on(spec, *slot.machine))
        continue;
      ever += spec.each.times_in(slot.for_arrays);
      free += tasks_that_fit(slot, spec);
    }
    // Room that work other than services would never free is not waited for.
    if (ever < count || (found && free <= most_free)) continue;
    found = true;
    best_zone = zone;
    most_free = free;
  }
  if (!found) return;
  draft_.hold_team_use(spec, count);
  std::uint32_t left = count;
  for (MachineSlot* slot : candidates(job, best_zone))
    for (; left > 0 && draft_.fits(*slot, spec); --left) draft_.reserve(*slot, spec);
}

}  // namespace poppystile::planning
