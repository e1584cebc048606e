/// \file
/// Frees resources for a waiting job by preempting work that yields to it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "planning/job_order.hpp"
#include "planning/plan_draft.hpp"
#include "planning/victim_selector.hpp"

namespace poppystile::planning {

/// Decides the preemptions of one plan, with at most `constants::max_preemption_searches` searches
/// for victims.
class Preemption {
 public:
  /// Both arguments must outlive this object.
  Preemption(PlanDraft& draft, const JobOrder& order)
      : draft_(draft), victim_selector_(draft, order) {}

  /// Reserves resources for one task of `waiting_job` on one machine: free ones and those of
  /// stopping tasks or, where these are not enough on any machine, also those of the fewest tasks,
  /// which are preempted. The task itself is not placed. Returns false when no machine can free
  /// enough, or when all searches of this plan are used up.
  bool reserve_for_task(const cluster::Job& waiting_job);

  /// Reserves resources for all schedulable tasks of a gang in `zone`, or in any zone if `zone` is
  /// empty: free ones, those of stopping tasks and those of tasks that are preempted. Returns
  /// false, with nothing preempted or reserved, when these are not enough for the whole gang or all
  /// searches of this plan are used up.
  bool reserve_for_gang(const cluster::Job& waiting_job, const std::string& zone);

 private:
  /// Tasks of a gang that fit on one machine once its stopping tasks and the victims have exited.
  struct GangShare {
    MachineSlot* slot = nullptr;
    std::int64_t task_count = 0;
    std::vector<const cluster::Placement*> victims;
  };
  /// The victims on the machine where preemption for one task costs the least.
  struct BestVictims {
    MachineSlot* slot = nullptr;
    std::vector<const cluster::Placement*> placements;
    std::size_t cost = 0;
  };

  /// Counts a search for victims. Returns false when all searches of this plan are used up.
  bool count_search();
  /// Reserves resources for one task of the job on a machine where those that are free or being
  /// freed are enough. Returns false when there is none.
  bool reserve_being_freed(const protocol::JobSpec& job);
  /// Returns nothing when no machine can free enough for one task of `waiting_job`.
  std::optional<BestVictims> find_best_victims(const cluster::Job& waiting_job);
  /// Shares that together hold all schedulable tasks of the gang; nothing when the machines in
  /// `zone` cannot free enough.
  std::optional<std::vector<GangShare>> find_gang_shares(const cluster::Job& waiting_job,
                                                         const std::string& zone);
  /// The share of one machine, with at most `unassigned_tasks` tasks.
  GangShare make_gang_share(MachineSlot& slot, const cluster::Job& waiting_job,
                            std::int64_t unassigned_tasks) const;
  /// Preempts the victims of the share, and reserves its resources, free or being freed.
  void apply(const GangShare& share, const protocol::JobSpec& gang);
  /// Preempts the placement or, if it belongs to a gang, every task of the gang.
  void preempt(MachineSlot& slot, const cluster::Placement& placement);

  PlanDraft& draft_;
  VictimSelector victim_selector_;
  int searches_ = 0;
};

}  // namespace poppystile::planning
