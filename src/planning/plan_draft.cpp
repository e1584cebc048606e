#include "planning/plan_draft.hpp"

#include <algorithm>
#include <cmath>

#include "constants.hpp"

namespace poppystile::planning {

using cluster::Job;
using cluster::Machine;
using cluster::Placement;
using cluster::PlacementPhase;
using protocol::JobKind;
using protocol::JobSpec;
using protocol::Resources;

bool MachineSlot::fetches(const std::string& image) const {
  return std::find(fetching.begin(), fetching.end(), image) != fetching.end();
}

PlanDraft::PlanDraft(const cluster::ClusterState& cluster_state, const PlanningContext& context)
    : cluster_state_(cluster_state), context_(context) {
  for (const auto& team : *context.teams) {
    limits_[team.name] = {std::llround(team.cpus_max * 1000), std::llround(team.gpus_max * 1000),
                          0};
    const auto use = cluster_state.teams.find(team.name);
    if (use != cluster_state.teams.end()) used_[team.name] = use->second.used;
  }
}

void PlanDraft::add_slots() {
  for (const auto& [id, machine] : cluster_state_.machines) {
    if (is_schedulable(machine, context_.now)) {
      slots_.push_back(slot_of(machine));
    } else if (machine.incarnation == 0 && !machine.releasing && !machine.draining) {
      add_booting(machine);
    }
  }
}

void PlanDraft::add_booting(const Machine& machine) {
  const Seconds age = context_.wall_now - machine.rented_at;
  const Seconds latest = constants::boot_latest_share * machine.boot_time;
  if (age >= latest) return;  // overdue: nobody knows when it will be up
  MachineSlot slot;
  slot.machine = &machine;
  slot.room = slot.for_arrays = machine.size;
  const Seconds earliest = constants::boot_earliest_share * machine.boot_time;
  slot.ready_in = (std::max(earliest, age) + latest) / 2 - age;
  booting_.push_back(std::move(slot));
}

MachineSlot PlanDraft::slot_of(const Machine& machine) {
  MachineSlot slot;
  slot.machine = &machine;
  slot.room = machine.room();
  slot.for_arrays = machine.size;
  slot.entries = machine.placements.size();
  for (const auto& placement : machine.placements) {
    if (placement.phase == PlacementPhase::exited) continue;
    if (placement.stopping) slot.stopping += placement.each;
    const auto found = cluster_state_.jobs.find(placement.job);
    const Job* job = found == cluster_state_.jobs.end() ? nullptr : &found->second;
    const bool service = job != nullptr && job->spec().kind == JobKind::service;
    if (job == nullptr || service) slot.for_arrays -= placement.each;
    if (service) ++replicas_by_zone_[job->spec().job_class][machine.zone];
    const bool before_run =
        placement.phase == PlacementPhase::assigned || placement.phase == PlacementPhase::fetching;
    if (!before_run || job == nullptr || machine.holds(job->spec().image)) continue;
    if (service) ++slot.replicas_starting;
    if (!slot.fetches(job->spec().image)) slot.fetching.push_back(job->spec().image);
  }
  for (const auto& placement : machine.placements) slot.load += remaining_load(slot, placement);
  return slot;
}

Seconds PlanDraft::remaining_load(const MachineSlot& slot, const Placement& placement) const {
  const auto job = cluster_state_.jobs.find(placement.job);
  if (placement.phase == PlacementPhase::exited || job == cluster_state_.jobs.end())
    return Seconds{0};
  const JobSpec& spec = job->second.spec();
  if (spec.kind == JobKind::service) return Seconds{0};
  const auto abreast = spec.each.times_in(slot.for_arrays);
  if (abreast <= 0) return Seconds{0};
  const Seconds expected = expected_run_time(spec);
  const Seconds past = placement.phase == PlacementPhase::running
                           ? context_.now - placement.phase_started_at
                           : Seconds{0};
  // An overdue task is taken to need some more: estimates are often too low.
  return std::max(expected - past, expected / 4) / static_cast<double>(abreast);
}

std::map<std::string, std::uint32_t>& PlanDraft::tasks_by_zone(const JobSpec& job) {
  const auto [found, inserted] = tasks_by_zone_.try_emplace(job.id);
  if (inserted)
    for (const auto& [index, machine] : cluster_state_.jobs.at(job.id).placements)
      ++found->second[machine->zone];
  return found->second;
}

std::uint32_t PlanDraft::team_room(const JobSpec& job) const {
  const auto limit = limits_.find(job.team);
  if (limit == limits_.end()) return 0;
  const auto used = used_.find(job.team);
  const Resources now = used == used_.end() ? Resources{} : used->second;
  std::int64_t times = constants::max_tasks;
  if (limit->second.cpus > 0 && job.each.cpus > 0)
    times = std::min(times, (limit->second.cpus - now.cpus) / job.each.cpus);
  if (limit->second.gpus > 0 && job.each.gpus > 0)
    times = std::min(times, (limit->second.gpus - now.gpus) / job.each.gpus);
  return static_cast<std::uint32_t>(std::max<std::int64_t>(0, times));
}

std::uint32_t PlanDraft::zone_room(const JobSpec& job, const std::string& zone) {
  if (!job.one_zone && !job.spread) return job.tasks;
  const auto& zones = tasks_by_zone(job);
  if (job.one_zone)
    for (const auto& [other, count] : zones)
      if (count > 0 && other != zone) return 0;
  if (!job.spread) return job.tasks;
  const auto here = zones.find(zone);
  const std::uint32_t most = (job.tasks + 1) / 2;
  return here == zones.end() ? most : most - std::min(most, here->second);
}

void PlanDraft::hold_team_use(const JobSpec& job, std::uint32_t count) {
  for (std::uint32_t i = 0; i < count; ++i) used_[job.team] += job.each;
}

bool PlanDraft::can_stop_together(const Job& gang) const {
  return std::all_of(gang.placements.begin(), gang.placements.end(), [](const auto& each) {
    const Machine& machine = *each.second;
    return machine.has_reported && machine.has_acknowledged_token && !machine.is_overdue &&
           !machine.is_unresponsive;
  });
}

void PlanDraft::stop_gang(const Job& gang) {
  std::map<std::string, MachineSlot*> slot_of_machine;
  for (auto& slot : slots_) slot_of_machine[slot.machine->id] = &slot;
  for (const auto& [index, machine] : gang.placements)
    for (const auto& placement : machine->placements) {
      if (placement.index != index || placement.job != gang.spec().id) continue;
      const auto slot = slot_of_machine.find(machine->id);
      if (slot != slot_of_machine.end()) slot->second->stopping += placement.each;
      plan_.preemptions.push_back({machine->id, placement.job, placement.index, placement.attempt});
    }
}

bool PlanDraft::fits(const MachineSlot& slot, const JobSpec& job) {
  return slot.entries < constants::max_tasks_per_machine && job.each.fits(slot.room) &&
         may_run_on(job, *slot.machine) && zone_allows(job, slot.machine->zone);
}

void PlanDraft::occupy(MachineSlot& slot, const JobSpec& job) {
  slot.room -= job.each;
  ++slot.entries;
  if (job.kind == JobKind::service) {
    slot.for_arrays -= job.each;
    ++replicas_by_zone_[job.job_class][slot.machine->zone];
    if (!slot.machine->holds(job.image)) ++slot.replicas_starting;
  }
  if (!slot.holds(job.image)) slot.fetching.push_back(job.image);
}

void PlanDraft::reserve(MachineSlot& slot, const JobSpec& job) { occupy(slot, job); }

void PlanDraft::commit(MachineSlot& slot, const JobSpec& job) {
  occupy(slot, job);
  used_[job.team] += job.each;
  if (job.one_zone || job.spread) ++tasks_by_zone(job)[slot.machine->zone];
  plan_.placements.push_back({slot.machine->id, job.id});
}

void PlanDraft::stop(MachineSlot& slot, const Placement& placement) {
  slot.stopping += placement.each;
  plan_.preemptions.push_back(
      {slot.machine->id, placement.job, placement.index, placement.attempt});
}

double PlanDraft::class_share(const std::string& job_class, const std::string& zone) const {
  const auto zones = replicas_by_zone_.find(job_class);
  if (zones == replicas_by_zone_.end()) return 0;
  std::uint32_t all = 1;
  for (const auto& [name, count] : zones->second) all += count;
  const auto here = zones->second.find(zone);
  return here == zones->second.end() ? 0.0 : static_cast<double>(here->second) / all;
}

std::map<std::string, std::uint32_t> PlanDraft::placed_by_job() const {
  std::map<std::string, std::uint32_t> placed;
  for (const auto& each : plan_.placements) ++placed[each.job];
  return placed;
}

}  // namespace poppystile::planning
