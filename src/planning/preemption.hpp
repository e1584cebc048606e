/// \file
/// Stops lower work to make room for a waiting job.
#pragma once

#include <set>
#include <vector>

#include "planning/job_order.hpp"
#include "planning/plan_draft.hpp"

namespace poppystile::planning {

class Preemption {
 public:
  Preemption(PlanDraft& draft, const JobOrder& order) : draft_(draft), order_(order) {}

  /// Reserves room for one task of `waiting`: room that is on its way already, else that of the
  /// fewest tasks that may be stopped for it. False when there is none, or when this plan has
  /// searched often enough.
  bool make_room(const bookkeeping::Job& waiting);

 private:
  bool reserve_stopping(const protocol::JobSpec& job);
  bool may_use(const MachineSlot& slot, const protocol::JobSpec& job);
  /// Whether work of `owner` may be stopped for a task of `waiting`.
  bool yields_to(const bookkeeping::Job& owner, const bookkeeping::Job& waiting) const;
  std::vector<const bookkeeping::Placement*> victims_on(const MachineSlot& slot,
                                                        const bookkeeping::Job& waiting) const;

  PlanDraft& draft_;
  const JobOrder& order_;
  std::set<const bookkeeping::Placement*> stopped_;
  int searches_ = 0;
};

}  // namespace poppystile::planning
