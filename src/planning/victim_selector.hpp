/// \file
/// The choice of placements that are preempted for a waiting job, and their cost.
#pragma once

#include <cstddef>
#include <vector>

#include "planning/job_order.hpp"
#include "planning/plan_draft.hpp"

namespace poppystile::planning {

/// Chooses victims among the placements that the draft has not preempted yet.
class VictimSelector {
 public:
  /// Both arguments must outlive this object.
  VictimSelector(const PlanDraft& draft, const JobOrder& order) : draft_(draft), order_(order) {}

  /// Placements on the machine that may be preempted for `waiting_job`, by rising cost; among equal
  /// costs, those whose phase started last come first, since they lose the least work.
  std::vector<const cluster::Placement*> candidates(const MachineSlot& slot,
                                                    const cluster::Job& waiting_job) const;
  /// The first candidates that together free enough for one task of `waiting_job`, beside the
  /// resources that are free or being freed. Empty when all candidates are not enough, and when
  /// none is needed.
  std::vector<const cluster::Placement*> victims_for_task(const MachineSlot& slot,
                                                          const cluster::Job& waiting_job) const;
  /// Number of tasks that stop if the placement is preempted: all placed tasks of a gang, else one.
  std::size_t cost(const cluster::Placement& placement) const;

 private:
  /// Whether the placement may be preempted for `waiting_job`.
  bool is_candidate(const cluster::Placement& placement, const cluster::Job& waiting_job) const;
  /// Whether priorities and guarantees allow tasks of `owner` to be preempted for `waiting_job`.
  bool yields_to(const cluster::Job& owner, const cluster::Job& waiting_job) const;

  const PlanDraft& draft_;
  const JobOrder& order_;
};

}  // namespace poppystile::planning
