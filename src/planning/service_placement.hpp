/// \file
/// Places replicas of services: each on the machine where it is up soonest.
#pragma once

#include "planning/plan_draft.hpp"
#include "planning/preemption.hpp"

namespace poppystile::planning {

class ServicePlacement {
 public:
  ServicePlacement(PlanDraft& draft, Preemption& preemption)
      : draft_(draft), preemption_(preemption) {}

  /// Places the waiting replicas of one service, image holders first.
  void place(const bookkeeping::Job& job);

 private:
  MachineSlot* best_slot(const protocol::JobSpec& job);
  /// Seconds until a replica would be up there, adjusted a little: less on machines that have
  /// services already, which keeps others free to be released, and in zones that have fewer
  /// replicas of the class.
  double delay_s(const protocol::JobSpec& job, const MachineSlot& slot) const;

  PlanDraft& draft_;
  Preemption& preemption_;
};

}  // namespace poppystile::planning
