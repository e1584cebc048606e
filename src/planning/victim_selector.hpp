/// \file
/// Which placements may be preempted for a waiting job, and at what cost.
#pragma once

#include <cstddef>
#include <vector>

#include "planning/job_order.hpp"
#include "planning/plan_draft.hpp"

namespace poppystile::planning {

/// Chooses victims in view of the preemptions that the draft has already.
class VictimSelector {
 public:
  VictimSelector(const PlanDraft& draft, const JobOrder& order) : draft_(draft), order_(order) {}

  /// Placements on the machine that may be preempted for `waiting`: the cheapest first, and of
  /// those that cost the same the youngest, which lose the least.
  std::vector<const cluster::Placement*> candidates(const MachineSlot& slot,
                                                    const cluster::Job& waiting) const;
  /// The first candidates that make room for one task of `waiting`; empty when all of them
  /// together do not, and when there is room already.
  std::vector<const cluster::Placement*> victims_for_task(const MachineSlot& slot,
                                                          const cluster::Job& waiting) const;
  /// Number of tasks that are lost with the placement: all tasks of a gang, else one.
  std::size_t cost(const cluster::Placement& placement) const;

 private:
  bool is_candidate(const cluster::Placement& placement, const cluster::Job& waiting) const;
  /// Whether work of `owner` gives way to a task of `waiting`.
  bool yields_to(const cluster::Job& owner, const cluster::Job& waiting) const;

  const PlanDraft& draft_;
  const JobOrder& order_;
};

}  // namespace poppystile::planning
