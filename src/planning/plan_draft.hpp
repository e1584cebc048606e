/// \file
/// The plan under construction: machines as the decisions so far leave them, the teams' use, and
/// the decisions themselves. Shared by the parts of the planner.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "planning/planner.hpp"

namespace poppystile::planning {

/// A machine that takes tasks, as the plan changes it.
struct MachineSlot {
  const cluster::Machine* machine = nullptr;
  protocol::Resources room;
  protocol::Resources for_arrays;       // its size less what services hold
  protocol::Resources stopping;         // held by tasks that were told to stop
  std::size_t entries = 0;              // tasks on it or placed there
  std::vector<std::string> fetching;    // images being fetched, or about to be
  std::uint32_t replicas_starting = 0;  // of services, that wait for an image
  Seconds load{0};                      // seconds of array work, see docs/design.md on the unit
  Seconds ready_in{0};                  // until it is expected to be up; 0: it takes tasks now

  bool fetches(const std::string& image) const;
  /// Whether the image is there or on its way: one fetch serves every task that waits for it.
  bool holds(const std::string& image) const { return machine->holds(image) || fetches(image); }
};

class PlanDraft {
 public:
  PlanDraft(const cluster::ClusterState& cluster_state, const PlanningContext& context);

  /// Makes a slot of every machine that takes tasks. Called once, before anything is placed.
  void add_slots();

  /// Machines that are booting, as far as they are not overdue: nothing can be placed on them, but
  /// a service may be better off waiting for one.
  std::vector<MachineSlot>& booting() { return booting_; }
  std::vector<MachineSlot>& slots() { return slots_; }
  const std::vector<MachineSlot>& slots() const { return slots_; }
  const cluster::ClusterState& cluster_state() const { return cluster_state_; }
  const PlanningContext& context() const { return context_; }

  /// How many more tasks of the job its team's limit allows.
  std::uint32_t team_room(const protocol::JobSpec& job) const;
  /// How many more tasks of the job `one_zone` and `spread` allow in the zone.
  std::uint32_t zone_room(const protocol::JobSpec& job, const std::string& zone);
  bool zone_allows(const protocol::JobSpec& job, const std::string& zone) {
    return zone_room(job, zone) > 0;
  }
  bool fits(const MachineSlot& slot, const protocol::JobSpec& job);
  /// Places one task of the job.
  void commit(MachineSlot& slot, const protocol::JobSpec& job);
  /// Sets room aside for one task that waits for it; decides nothing.
  void reserve(MachineSlot& slot, const protocol::JobSpec& job);
  /// Counts so many tasks of the job as used by its team, so that others leave them room.
  void hold_team_use(const protocol::JobSpec& job, std::uint32_t count);
  /// Whether all machines of a gang take commands, so that its tasks can be stopped together.
  bool can_stop_together(const cluster::Job& gang) const;
  /// Records that all tasks of a gang are to be stopped.
  void stop_gang(const cluster::Job& gang);
  /// Records that a placement is to be stopped; its room counts as on its way.
  void stop(MachineSlot& slot, const cluster::Placement& placement);
  /// Of the class's replicas, the share that is in the zone.
  double class_share(const std::string& job_class, const std::string& zone) const;
  /// Placements decided so far, by job.
  std::map<std::string, std::uint32_t> placed_by_job() const;

  /// The use of each team, with what this plan has placed.
  std::map<std::string, protocol::Resources>& team_use() { return used_; }

  void note_waiting_gang(const std::string& job, GangWaitReason why) {
    plan_.waiting_gangs[job] = why;
  }

  Plan take() { return std::move(plan_); }

 private:
  MachineSlot slot_of(const cluster::Machine& machine);
  void add_booting(const cluster::Machine& machine);
  void occupy(MachineSlot& slot, const protocol::JobSpec& job);
  Seconds remaining_load(const MachineSlot& slot, const cluster::Placement& placement) const;
  std::map<std::string, std::uint32_t>& tasks_by_zone(const protocol::JobSpec& job);

  const cluster::ClusterState& cluster_state_;
  const PlanningContext& context_;
  std::vector<MachineSlot> slots_;
  std::vector<MachineSlot> booting_;
  std::map<std::string, protocol::Resources> limits_;
  std::map<std::string, protocol::Resources> used_;
  std::map<std::string, std::map<std::string, std::uint32_t>> tasks_by_zone_;     // of a job
  std::map<std::string, std::map<std::string, std::uint32_t>> replicas_by_zone_;  // of a class
  Plan plan_;
};

}  // namespace poppystile::planning
