/// \file
/// Makes room for a waiting job by stopping work that gives way to it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "planning/job_order.hpp"
#include "planning/plan_draft.hpp"
#include "planning/victim_selector.hpp"

namespace poppystile::planning {

/// Decides the preemptions of one plan, and bounds how often it searches for them.
class Preemption {
 public:
  Preemption(PlanDraft& draft, const JobOrder& order) : draft_(draft), victims_(draft, order) {}

  /// Makes room for one task of `waiting`: reserves what other tasks are about to free, else
  /// preempts the fewest tasks. Returns false when neither is enough, or when this plan has
  /// searched `constants::max_preemption_searches` times.
  bool make_room(const cluster::Job& waiting);

  /// Makes room for all waiting tasks of a gang in `zone`, or anywhere if that is empty, from what
  /// is free or about to be and from tasks that give way. Returns false, without any preemption,
  /// when that is not enough for the whole gang or this plan has searched often enough.
  bool make_room_for_gang(const cluster::Job& waiting, const std::string& zone);

 private:
  /// Tasks of a gang that one machine has room for, once the victims are gone.
  struct GangShare {
    MachineSlot* slot = nullptr;
    std::int64_t task_count = 0;
    std::vector<const cluster::Placement*> victims;
  };
  /// The least costly set of victims on one machine.
  struct BestVictims {
    MachineSlot* slot = nullptr;
    std::vector<const cluster::Placement*> placements;
    std::size_t cost = 0;
  };

  /// Counts a search. False when this plan has searched often enough.
  bool may_search();
  /// Reserves room for one task from what is being freed. False when no machine has enough.
  bool reserve_being_freed(const protocol::JobSpec& job);
  std::optional<BestVictims> find_best_victims(const cluster::Job& waiting);
  /// Shares for all waiting tasks of the gang, or nothing.
  std::optional<std::vector<GangShare>> find_gang_shares(const cluster::Job& waiting,
                                                         const std::string& zone);
  /// The share of one machine, for `missing` tasks at most.
  GangShare make_gang_share(MachineSlot& slot, const cluster::Job& waiting,
                            std::int64_t missing) const;
  /// Preempts the victims and keeps the room, free or being freed, for the gang.
  void apply(const GangShare& share, const protocol::JobSpec& gang);
  /// Preempts the placement, or its whole gang.
  void preempt(MachineSlot& slot, const cluster::Placement& placement);

  PlanDraft& draft_;
  VictimSelector victims_;
  int searches_ = 0;
};

}  // namespace poppystile::planning
