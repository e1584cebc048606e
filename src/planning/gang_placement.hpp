/// \file
/// Places gangs: all tasks of an attempt in one decision, or none.
///
/// A gang begins when the last of its tasks has its image, so assignments are compared by the
/// largest fetch time among their machines; holders come first and, among those alike, the least
/// loaded machines.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "planning/job_order.hpp"
#include "planning/plan_draft.hpp"
#include "planning/preemption.hpp"

namespace poppystile::planning {

class GangPlacement {
 public:
  GangPlacement(PlanDraft& draft, const JobOrder& order, Preemption& preemption)
      : draft_(draft), order_(order), preemption_(preemption) {}

  /// Places every task of the gang that waits: all of them, or the replacements of an attempt that
  /// has not begun. Where there is no room for the whole, room that frees itself is kept for it.
  void place(const cluster::Job& job);

 private:
  struct Share {
    MachineSlot* slot = nullptr;
    std::uint32_t tasks = 0;
  };
  /// Machines for all the tasks, none of them committed yet.
  struct Assignment {
    std::vector<Share> shares;
    Seconds fetch_time{0};  // until the last image is there
  };

  bool place_whole(const cluster::Job& job);
  /// With `one_zone` only machines in `zone` count; an empty name stands for all.
  std::optional<Assignment> assign(const cluster::Job& job, const std::string& zone);
  std::vector<MachineSlot*> candidates(const cluster::Job& job, const std::string& zone);
  /// The zones to be tried one at a time; a single empty name where the tasks may be anywhere.
  std::vector<std::string> zones_for(const protocol::JobSpec& job) const;
  /// Keeps the free room of the most promising zone from other work in this plan. Bounded in time,
  /// so that single tasks have their turn.
  void hold_room(const cluster::Job& job);
  bool may_hold(const cluster::Job& job) const;

  PlanDraft& draft_;
  const JobOrder& order_;
  Preemption& preemption_;
};

}  // namespace poppystile::planning
