#include "planning/machine_slot.hpp"

#include <algorithm>

#include "constants.hpp"
#include "planning/eligibility.hpp"
#include "planning/saturating_subtract.hpp"

namespace poppystile::planning {

using cluster::ClusterState;
using cluster::Job;
using cluster::Machine;
using cluster::Placement;
using cluster::PlacementPhase;
using protocol::JobKind;
using protocol::JobSpec;
using protocol::Resources;

namespace {

const Job* find_job(const ClusterState& cluster_state, const std::string& id) {
  const auto found = cluster_state.jobs.find(id);
  return found == cluster_state.jobs.end() ? nullptr : &found->second;
}

bool awaits_image(const Placement& placement, const Machine& machine, const JobSpec& job) {
  const bool before_run =
      placement.phase == PlacementPhase::assigned || placement.phase == PlacementPhase::fetching;
  return before_run && !machine.has_cached(job.image);
}

/// Adds one of the machine's existing placements to the slot's counts. `job` is null if the cluster
/// state no longer has the placement's job.
void count_placement(MachineSlot& slot, const Placement& placement, const Job* job,
                     ReplicaZones& replicas) {
  if (placement.stopping) slot.being_freed += placement.task_resources;
  const bool is_replica = job != nullptr && job->spec().kind == JobKind::service;
  if (job == nullptr || is_replica) slot.array_capacity -= placement.task_resources;
  if (is_replica) replicas.add(job->spec().job_class, slot.machine->zone);
  if (job == nullptr || !awaits_image(placement, *slot.machine, job->spec())) return;
  if (is_replica) ++slot.replicas_awaiting_image;
  if (!slot.is_fetching(job->spec().image)) slot.pending_images.push_back(job->spec().image);
}

/// The load that a placement of an array or a gang adds; 0 for a service or an unknown job.
Seconds remaining_load(const MachineSlot& slot, const Placement& placement, const Job* job,
                       SteadyTime now) {
  if (job == nullptr || job->spec().kind == JobKind::service) return Seconds{0};
  const JobSpec& spec = job->spec();
  const auto concurrent_tasks = spec.task_resources.times_in(slot.array_capacity);
  if (concurrent_tasks <= 0) return Seconds{0};
  const Seconds expected = expected_run_time(spec);
  const Seconds elapsed =
      placement.phase == PlacementPhase::running ? now - placement.phase_started_at : Seconds{0};
  // Estimates are often too low, so at least a quarter of the expected run time is assumed to
  // remain.
  const Seconds remaining = std::max(expected - elapsed, expected / 4);
  return remaining / static_cast<double>(concurrent_tasks);
}

}  // namespace

bool MachineSlot::is_fetching(const std::string& image) const {
  return std::find(pending_images.begin(), pending_images.end(), image) != pending_images.end();
}

Resources MachineSlot::free_after_stops() const {
  Resources sum = free;
  sum += being_freed;
  return sum;
}

std::uint32_t MachineSlot::task_capacity(const JobSpec& job) const {
  const std::size_t by_count = saturating_subtract(constants::max_tasks_per_machine, task_count);
  return static_cast<std::uint32_t>(
      std::min(job.task_resources.times_in(free), static_cast<std::int64_t>(by_count)));
}

void MachineSlot::occupy(const JobSpec& job) {
  free -= job.task_resources;
  ++task_count;
  if (job.kind == JobKind::service) {
    array_capacity -= job.task_resources;
    if (!machine->has_cached(job.image)) ++replicas_awaiting_image;
  }
  if (!has_cached_or_is_fetching(job.image)) pending_images.push_back(job.image);
}

MachineSlot make_slot(const Machine& machine, const ClusterState& cluster_state, SteadyTime now,
                      ReplicaZones& replicas) {
  MachineSlot slot;
  slot.machine = &machine;
  slot.free = machine.free_resources();
  slot.array_capacity = machine.size;
  slot.task_count = machine.placements.size();
  for (const auto& placement : machine.placements)
    if (placement.phase != PlacementPhase::exited)
      count_placement(slot, placement, find_job(cluster_state, placement.job), replicas);
  // The load depends on `array_capacity`, which is complete only after all placements are counted.
  for (const auto& placement : machine.placements)
    if (placement.phase != PlacementPhase::exited)
      slot.load += remaining_load(slot, placement, find_job(cluster_state, placement.job), now);
  return slot;
}

std::optional<MachineSlot> make_booting_slot(const Machine& machine, WallTime now) {
  const Seconds age = now - machine.rented_at;
  const Seconds latest = constants::boot_latest_share * machine.boot_time;
  if (age >= latest) return std::nullopt;
  MachineSlot slot;
  slot.machine = &machine;
  slot.free = slot.array_capacity = machine.size;
  const Seconds earliest = constants::boot_earliest_share * machine.boot_time;
  slot.ready_in = (std::max(earliest, age) + latest) / 2 - age;
  return slot;
}

Seconds image_fetch_time(const MachineSlot& slot, const JobSpec& job,
                         std::size_t competing_fetches) {
  if (slot.machine->has_cached(job.image)) return Seconds{0};
  const Seconds single_fetch{job.image_gb / slot.machine->fetch_gb_per_s};
  const std::size_t fetches = slot.is_fetching(job.image)
                                  ? slot.pending_images.size()
                                  : slot.pending_images.size() + 1 + competing_fetches;
  return single_fetch * static_cast<double>(fetches);
}

}  // namespace poppystile::planning
