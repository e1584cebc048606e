/// \file
/// The plan under construction, shared by the parts of the planner: the machines and the quotas as
/// the decisions so far leave them, and the decisions themselves.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_set>
#include <vector>

#include "planning/machine_slot.hpp"
#include "planning/planner.hpp"
#include "planning/replica_zones.hpp"
#include "planning/team_quotas.hpp"
#include "planning/zone_limits.hpp"

namespace poppystile::planning {

/// The state of one planning pass. Parts of the planner read it, and change it by their decisions.
class PlanDraft {
 public:
  /// Makes a slot of every machine that takes tasks, and of those that boot. Both arguments must
  /// outlive the draft and not change meanwhile.
  PlanDraft(const cluster::ClusterState& cluster_state, const PlanningContext& context);

  /// Machines that take tasks, by id.
  std::vector<MachineSlot>& slots() { return slots_; }
  const std::vector<MachineSlot>& slots() const { return slots_; }
  /// Machines that boot and are not overdue: nothing can be placed on them yet, but a service may
  /// be better off waiting for one.
  std::vector<MachineSlot>& booting_slots() { return booting_slots_; }

  const cluster::ClusterState& cluster_state() const { return cluster_state_; }
  const PlanningContext& context() const { return context_; }
  TeamQuotas& quotas() { return quotas_; }
  const TeamQuotas& quotas() const { return quotas_; }
  ZoneLimits& zone_limits() { return zone_limits_; }
  const ReplicaZones& replica_zones() const { return replica_zones_; }

  /// Whether the job may run on the machine at all, in view of its other tasks' zones too.
  bool is_allowed(const MachineSlot& slot, const protocol::JobSpec& job);
  /// Whether one more task of the job may be placed on the machine now. The team's quota is not
  /// considered.
  bool fits(const MachineSlot& slot, const protocol::JobSpec& job);

  /// Places one task of the job, for which `fits` must hold.
  void place(MachineSlot& slot, const protocol::JobSpec& job);
  /// Sets room aside for one task that has to wait; nothing is placed.
  void reserve(MachineSlot& slot, const protocol::JobSpec& job);

  /// Decides that a single task is preempted. What it uses counts as being freed.
  void preempt(MachineSlot& slot, const cluster::Placement& placement);
  /// Decides that every task of a gang is preempted.
  void preempt_gang(const cluster::Job& gang);
  bool is_preempted(const cluster::Placement& placement) const {
    return preempted_.contains(&placement);
  }

  void record_waiting_gang(const std::string& job, GangWaitReason reason) {
    plan_.waiting_gangs[job] = reason;
  }

  /// Placements decided so far, by job.
  std::map<std::string, std::uint32_t> count_placements_by_job() const;

  /// Hands over the decisions; the draft must not be used afterwards.
  Plan take_plan() { return std::move(plan_); }

 private:
  void add_slots();
  /// The slot of a machine, or null when it takes no tasks.
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
