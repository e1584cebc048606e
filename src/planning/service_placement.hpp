/// \file
/// Places replicas of services: each on the machine where it is up soonest, which may be one that
/// is still booting when those that are up would have to fetch many images.
#pragma once

#include <vector>

#include "planning/plan_draft.hpp"
#include "planning/preemption.hpp"

namespace poppystile::planning {

/// Places the services of one plan.
class ServicePlacement {
 public:
  ServicePlacement(PlanDraft& draft, Preemption& preemption)
      : draft_(draft), preemption_(preemption) {}

  /// Places the waiting replicas of one service, as far as its team's quota allows. Where no
  /// machine has room for a replica, room is made by preemption.
  void place(const cluster::Job& job);

 private:
  /// The slot with the least startup delay among those where a replica fits; null without any.
  MachineSlot* find_best_slot(std::vector<MachineSlot>& slots, const protocol::JobSpec& job);
  /// Reserves room on a booting machine if a replica is up sooner there than in `available`.
  /// Returns whether it did; the replica is then left to wait.
  bool reserve_booting_machine(const cluster::Job& job, const MachineSlot& available);
  /// Time until a replica would be up there, with two penalties: for machines without services,
  /// so that these can be released, and for zones with many of the class's replicas.
  Seconds startup_delay(const protocol::JobSpec& job, const MachineSlot& slot) const;

  PlanDraft& draft_;
  Preemption& preemption_;
};

}  // namespace poppystile::planning
