/// \file
/// Places replicas of services, each on the machine with the least startup delay. A replica waits
/// for a booting machine if it would start later on every machine that is up, for example because
/// these have many images to fetch.
#pragma once

#include <vector>

#include "planning/plan_draft.hpp"
#include "planning/preemption.hpp"

namespace poppystile::planning {

/// Places the services of one plan.
class ServicePlacement {
 public:
  /// Both arguments must outlive this object.
  ServicePlacement(PlanDraft& draft, Preemption& preemption)
      : draft_(draft), preemption_(preemption) {}

  /// Places the schedulable replicas of one service, as far as its team's quota allows. For a
  /// replica that fits on no machine, resources are freed by preemption; it is placed by a later
  /// plan.
  void place(const cluster::Job& job);

 private:
  /// The slot with the least startup delay among those where a replica fits; null when there is
  /// none.
  MachineSlot* find_best_slot(std::vector<MachineSlot>& slots, const protocol::JobSpec& job);
  /// Reserves resources for a replica on a booting machine if it would start sooner there than on
  /// `available`, and the job has waited for no longer than `constants::max_boot_wait`. Returns
  /// whether it did; the replica is then not placed by this plan.
  bool reserve_booting_machine(const cluster::Job& job, const MachineSlot& available);
  /// Expected time until a replica would start on the machine, plus two penalties: one for machines
  /// with few services, so that those without any can be released, and one for zones with many
  /// replicas of the job's class.
  Seconds startup_delay(const protocol::JobSpec& job, const MachineSlot& slot) const;

  PlanDraft& draft_;
  Preemption& preemption_;
};

}  // namespace poppystile::planning
