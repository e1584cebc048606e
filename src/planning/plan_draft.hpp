/// \file
/// The plan under construction, shared by the parts of the planner: the decisions so far, and the
/// machines, quotas and zone limits with these decisions applied.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

#include "planning/machine_slot.hpp"
#include "planning/planner.hpp"
#include "planning/replica_zones.hpp"
#include "planning/team_quotas.hpp"
#include "planning/zone_limits.hpp"

namespace poppystile::planning {

/// The state of one planning pass. The parts of the planner read it and record their decisions in
/// it.
class PlanDraft {
 public:
  /// Makes a slot for each schedulable machine, and for each booting one that is not overdue. Both
  /// arguments must outlive the draft and not change during its lifetime.
  PlanDraft(const cluster::ClusterState& cluster_state, const PlanningContext& context);

  /// Schedulable machines, in the order of their ids.
  std::vector<MachineSlot>& slots() { return slots_; }
  const std::vector<MachineSlot>& slots() const { return slots_; }
  /// Booting machines that are not overdue. No task can be placed on them yet, but a replica may
  /// start sooner if it waits for one.
  std::vector<MachineSlot>& booting_slots() { return booting_slots_; }

  const cluster::ClusterState& cluster_state() const { return cluster_state_; }
  const PlanningContext& context() const { return context_; }
  TeamQuotas& quotas() { return quotas_; }
  const TeamQuotas& quotas() const { return quotas_; }
  ZoneLimits& zone_limits() { return zone_limits_; }
  const ReplicaZones& replica_zones() const { return replica_zones_; }

  /// Whether the job's constraints allow another of its tasks on the machine, in view of the zones
  /// of its other tasks. Free resources are not considered.
  bool is_allowed(const MachineSlot& slot, const protocol::JobSpec& job);
  /// Whether one more task of the job is allowed on the machine and fits there, by free resources
  /// and by `constants::max_tasks_per_machine`. The team's quota is not considered.
  bool fits(const MachineSlot& slot, const protocol::JobSpec& job);

  /// Places one task of the job; `fits` must hold. Counts it for the quota and the zone limits.
  void place(MachineSlot& slot, const protocol::JobSpec& job);
  /// Reserves resources for one task that has to wait, so that the rest of the plan does not use
  /// them. Places nothing and leaves the quota as it is.
  void reserve(MachineSlot& slot, const protocol::JobSpec& job);

  /// Records the preemption of a single task. Its resources count as being freed.
  void preempt(MachineSlot& slot, const cluster::Placement& placement);
  /// Records the preemption of every task of a gang.
  void preempt_gang(const cluster::Job& gang);
  bool is_preempted(const cluster::Placement& placement) const {
    return preempted_.contains(&placement);
  }

  /// Records why the gang with the id `job` is not placed by this plan.
  void record_waiting_gang(const std::string& job, GangWaitReason reason) {
    plan_.waiting_gangs[job] = reason;
  }

  /// Records the zone chosen for an array with `one_zone`.
  void record_zone_choice(const std::string& job, ZoneChoice choice) {
    plan_.zone_choices[job] = std::move(choice);
  }

  /// Number of placements decided so far, by job id.
  std::map<std::string, std::uint32_t> count_placements_by_job() const;

  /// Moves the plan out of the draft, which must not be used afterwards.
  Plan take_plan() { return std::move(plan_); }

 private:
  void add_slots();
  /// The slot of a machine, or null when the machine is not schedulable.
  MachineSlot* find_slot(const cluster::Machine& machine);
  void record_preemption(const cluster::Machine& machine, const cluster::Placement& placement);

  const cluster::ClusterState& cluster_state_;
  const PlanningContext& context_;
  TeamQuotas quotas_;
  ZoneLimits zone_limits_;
  ReplicaZones replica_zones_;
  std::vector<MachineSlot> slots_;
  std::vector<MachineSlot> booting_slots_;
  std::unordered_set<const cluster::Placement*> preempted_;
  Plan plan_;
};

}  // namespace poppystile::planning
