/// \file
/// Places replicas of services: each on the machine where it is up soonest, which may be one that
/// is still booting when those that are up would have to fetch many images.
#pragma once

#include "planning/plan_draft.hpp"
#include "planning/preemption.hpp"

namespace poppystile::planning {

class ServicePlacement {
 public:
  ServicePlacement(PlanDraft& draft, Preemption& preemption)
      : draft_(draft), preemption_(preemption) {}

  /// Places the waiting replicas of one service, image holders first.
  void place(const cluster::Job& job);

 private:
  MachineSlot* best_of(std::vector<MachineSlot>& slots, const protocol::JobSpec& job);
  /// Whether the replica is up sooner on a machine that is still booting than in `now`; room is
  /// then set aside for it there.
  bool better_off_waiting(const cluster::Job& job, const MachineSlot& now);
  /// Seconds until a replica would be up there, adjusted a little: less on machines that have
  /// services already, which keeps others free to be released, and in zones that have fewer
  /// replicas of the class.
  Seconds startup_delay(const protocol::JobSpec& job, const MachineSlot& slot) const;
  /// Seconds of fetching that the replica costs: its own wait, and what a further image takes from
  /// the replicas that wait for theirs on the same machine.
  static Seconds fetch_cost(const protocol::JobSpec& job, const MachineSlot& slot);

  PlanDraft& draft_;
  Preemption& preemption_;
};

}  // namespace poppystile::planning
