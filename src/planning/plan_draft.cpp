#include "planning/plan_draft.hpp"

#include <algorithm>

#include "constants.hpp"
#include "planning/eligibility.hpp"

namespace poppystile::planning {

using cluster::Job;
using cluster::Machine;
using cluster::Placement;
using protocol::JobKind;
using protocol::JobSpec;

PlanDraft::PlanDraft(const cluster::ClusterState& cluster_state, const PlanningContext& context)
    : cluster_state_(cluster_state),
      context_(context),
      quotas_(*context.teams, cluster_state.teams),
      zone_limits_(cluster_state) {
  add_slots();
}

void PlanDraft::add_slots() {
  for (const auto& [id, machine] : cluster_state_.machines) {
    if (is_schedulable(machine, context_.now)) {
      slots_.push_back(make_slot(machine, cluster_state_, context_.now, replica_zones_));
    } else if (machine.incarnation == 0 && !machine.releasing && !machine.draining) {
      if (auto slot = make_booting_slot(machine, context_.wall_now))
        booting_slots_.push_back(std::move(*slot));
    }
  }
}

bool PlanDraft::is_allowed(const MachineSlot& slot, const JobSpec& job) {
  return may_run_on(job, *slot.machine) && zone_limits_.allows(job, slot.machine->zone);
}

bool PlanDraft::fits(const MachineSlot& slot, const JobSpec& job) {
  return slot.task_count < constants::max_tasks_per_machine && job.task_resources.fits(slot.free) &&
         is_allowed(slot, job);
}

void PlanDraft::reserve(MachineSlot& slot, const JobSpec& job) {
  slot.occupy(job);
  if (job.kind == JobKind::service) replica_zones_.add(job.job_class, slot.machine->zone);
}

void PlanDraft::place(MachineSlot& slot, const JobSpec& job) {
  reserve(slot, job);
  quotas_.add(job, 1);
  zone_limits_.add(job, slot.machine->zone);
  plan_.placements.push_back({slot.machine->id, job.id});
}

void PlanDraft::preempt(MachineSlot& slot, const Placement& placement) {
  slot.being_freed += placement.task_resources;
  record_preemption(*slot.machine, placement);
}

void PlanDraft::preempt_gang(const Job& gang) {
  for (const auto& [index, machine] : gang.placements) {
    MachineSlot* slot = find_slot(*machine);
    for (const auto& placement : machine->placements) {
      if (placement.index != index || placement.job != gang.spec().id) continue;
      if (slot != nullptr) slot->being_freed += placement.task_resources;
      record_preemption(*machine, placement);
    }
  }
}

MachineSlot* PlanDraft::find_slot(const Machine& machine) {
  const auto found = std::lower_bound(
      slots_.begin(), slots_.end(), machine.id,
      [](const MachineSlot& slot, const std::string& id) { return slot.machine->id < id; });
  return found != slots_.end() && found->machine == &machine ? &*found : nullptr;
}

void PlanDraft::record_preemption(const Machine& machine, const Placement& placement) {
  preempted_.insert(&placement);
  plan_.preemptions.push_back({machine.id, placement.job, placement.index, placement.attempt});
}

std::map<std::string, std::uint32_t> PlanDraft::count_placements_by_job() const {
  std::map<std::string, std::uint32_t> counts;
  for (const auto& planned : plan_.placements) ++counts[planned.job];
  return counts;
}

}  // namespace poppystile::planning
