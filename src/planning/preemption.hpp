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
  bool make_room(const cluster::Job& waiting);

  /// Room for all waiting tasks of a gang in `zone` (anywhere where that is empty): what is free or
  /// on its way, and the fewest tasks that may be stopped for it. Nobody is stopped where that is
  /// not enough for the whole gang.
  bool make_room_for_gang(const cluster::Job& waiting, const std::string& zone);

 private:
  /// Placements on the machine that may be stopped for `waiting`, those that lose least first.
  std::vector<const cluster::Placement*> yielding_on(const MachineSlot& slot,
                                                     const cluster::Job& waiting) const;
  /// Tasks that are lost when the placement is stopped: a gang's all.
  std::size_t cost_of(const cluster::Placement& placement) const;
  void stop(MachineSlot& slot, const cluster::Placement& placement);
  bool reserve_stopping(const protocol::JobSpec& job);
  bool may_use(const MachineSlot& slot, const protocol::JobSpec& job);
  /// Whether work of `owner` may be stopped for a task of `waiting`.
  bool yields_to(const cluster::Job& owner, const cluster::Job& waiting) const;
  std::vector<const cluster::Placement*> victims_on(const MachineSlot& slot,
                                                    const cluster::Job& waiting) const;

  PlanDraft& draft_;
  const JobOrder& order_;
  std::set<const cluster::Placement*> stopped_;
  int searches_ = 0;
};

}  // namespace poppystile::planning
