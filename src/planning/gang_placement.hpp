/// \file
/// Places gangs: all tasks of an attempt in one decision, or none.
///
/// A gang begins when the last of its tasks has its image, so assignments are compared by the
/// largest fetch time among their machines. Machines with the image come first and, among those
/// with equal fetch times, the ones with the most free room.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "planning/plan_draft.hpp"
#include "planning/preemption.hpp"

namespace poppystile::planning {

/// Places the gangs of one plan.
class GangPlacement {
 public:
  GangPlacement(PlanDraft& draft, Preemption& preemption)
      : draft_(draft), preemption_(preemption) {}

  /// Places every waiting task of the gang: all of them, or the replacements of an attempt that
  /// has not begun. A gang that does not fit as a whole gets room by preemption, or free room is
  /// reserved for it, and the reason why it waits is recorded.
  void place(const cluster::Job& job);

 private:
  struct Share {
    MachineSlot* slot = nullptr;
    std::uint32_t task_count = 0;
  };
  /// Machines for all tasks of a gang; nothing of it is in the draft yet.
  struct Assignment {
    std::vector<Share> shares;
    Seconds fetch_time{0};  // until the last image is there
  };

  /// Places all tasks, in the zone where the last image arrives first. False: there is no room.
  bool place_all_tasks(const cluster::Job& job);
  /// In `zone` only, or anywhere if that is empty. Nothing if the gang does not fit.
  std::optional<Assignment> find_assignment(const cluster::Job& job, const std::string& zone);
  /// Machines where a task fits, in the order in which they are filled.
  std::vector<MachineSlot*> find_candidates(const cluster::Job& job, const std::string& zone);
  /// The zones to be tried one at a time; a single empty name where the tasks may be anywhere.
  std::vector<std::string> zones_for(const protocol::JobSpec& job) const;
  /// Preempts for the whole gang in the first zone where that is enough. False: nowhere.
  bool make_room(const cluster::Job& job);
  /// Reserves the free room of the zone with the most of it, so that no other work of this plan
  /// takes it. Does so in a part of each period only, to leave single tasks their turn.
  void reserve_free_room(const cluster::Job& job);
  /// Whether now is in the part of the period in which room is reserved.
  bool may_reserve(const cluster::Job& job) const;
  /// The zone with the most free room, among those with enough for the gang once all arrays and
  /// gangs there have ended; nothing where services leave too little everywhere.
  std::optional<std::string> find_zone_to_reserve(const cluster::Job& job) const;

  PlanDraft& draft_;
  Preemption& preemption_;
};

}  // namespace poppystile::planning
