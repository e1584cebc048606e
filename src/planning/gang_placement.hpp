/// \file
/// Places gangs: all tasks of an attempt in one plan, or none.
///
/// A gang starts to run once the last of its tasks has its image, so assignments are compared by
/// the largest fetch time among their machines. Machines are filled in the order of their fetch
/// times; among equal fetch times, those with the most free CPUs come first.
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
  /// Both arguments must outlive this object.
  GangPlacement(PlanDraft& draft, Preemption& preemption)
      : draft_(draft), preemption_(preemption) {}

  /// Places all schedulable tasks of the gang, or none: every task of a new attempt, or the
  /// replacements for tasks that an attempt lost before it started to run. For a new attempt that
  /// does not fit, preempts other work or reserves free resources, and records why the gang waits.
  void place(const cluster::Job& job);

 private:
  /// The tasks of a gang that one machine takes.
  struct Share {
    MachineSlot* slot = nullptr;
    std::uint32_t task_count = 0;
  };
  /// Machines for all schedulable tasks of a gang; not recorded in the draft yet.
  struct Assignment {
    std::vector<Share> shares;
    Seconds fetch_time{0};  // the largest fetch time among the machines
  };

  /// Places all schedulable tasks by the assignment with the least fetch time. Returns false, with
  /// nothing placed, when they do not fit or exceed the team's quota.
  bool place_all_tasks(const cluster::Job& job);
  /// Finds machines for all schedulable tasks in `zone`, or in any zone if `zone` is empty. Returns
  /// nothing when they do not fit.
  std::optional<Assignment> find_assignment(const cluster::Job& job, const std::string& zone);
  /// Machines in `zone`, or in any zone if `zone` is empty, where a task of the gang fits, in the
  /// order in which they are filled. Excludes machines that lost a task of the present attempt.
  std::vector<MachineSlot*> find_candidates(const cluster::Job& job, const std::string& zone);
  /// With `one_zone`, the zones of all machines, to be tried one at a time; else a single empty
  /// string, which stands for any zone.
  std::vector<std::string> zones_to_try(const protocol::JobSpec& job) const;
  /// Preempts work for the whole gang in the first zone where this frees enough. Returns false,
  /// with nothing preempted, when there is no such zone.
  bool preempt_in_any_zone(const cluster::Job& job);
  /// Reserves free resources and team quota for the gang, so that the rest of this plan does not
  /// use them. Does so in a part of each period only (`may_reserve`), so that single tasks can
  /// start in the rest of it.
  void reserve_free_resources(const cluster::Job& job);
  /// Whether the present time is in the first `constants::gang_reservation_time` of a period.
  /// Periods of `constants::gang_reservation_period` follow one another from the gang's acceptance.
  bool may_reserve(const cluster::Job& job) const;
  /// The zone where the most tasks of the gang fit now, among the zones where all of them would fit
  /// without the arrays and gangs there; nothing when services leave too few resources in every
  /// zone. An empty string stands for any zone.
  std::optional<std::string> find_zone_to_reserve(const cluster::Job& job) const;

  PlanDraft& draft_;
  Preemption& preemption_;
};

}  // namespace poppystile::planning
