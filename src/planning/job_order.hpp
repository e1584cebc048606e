/// \file
/// The order in which waiting jobs are planned, and the jobs that are within their team's
/// guarantee.
#pragma once

#include <cstdint>
#include <map>
#include <set>

#include "planning/planner.hpp"

namespace poppystile::planning {

/// Whether an array that starts now can finish within `constants::overdue_target_factor` times its
/// completion target.
enum class DeadlineStatus : std::uint8_t { attainable, missed };

/// Sort key of an array among those of equal priority and guarantee: attainable arrays first, then
/// the earlier time.
struct SchedulingKey {
  DeadlineStatus status = DeadlineStatus::attainable;
  // If attainable, the latest start from which the array finishes in time; if missed, its
  // submission.
  WallTime time;
};

/// Orders the jobs of one plan.
class JobOrder {
 public:
  /// Both arguments must outlive this object, and not change during its lifetime.
  JobOrder(const cluster::ClusterState& cluster_state, const PlanningContext& context);

  /// Computes the scheduling key of an array, which `before` uses. In a list that is sorted
  /// by `before`, either all jobs or none must have a key, since the order is not transitive
  /// otherwise.
  void add_array(const cluster::Job& job);

  /// Strict weak order: the higher priority first, then guaranteed jobs, then the lesser scheduling
  /// key, then `accepted_before`.
  bool before(const cluster::Job* a, const cluster::Job* b) const;
  /// Compares by time of acceptance, then by id, so that equal cluster states give equal plans.
  static bool accepted_before(const cluster::Job* a, const cluster::Job* b);

  /// Whether all tasks of the job, together with those of the team's unfinished jobs that were
  /// accepted before it, fit into the CPUs and GPUs that the team is guaranteed.
  bool is_guaranteed(const cluster::Job& job) const { return guaranteed_.contains(&job); }
  /// Whether the array was accepted more than `constants::starvation_wait` ago and none of its
  /// tasks is placed or finished: its first tasks are then planned before all other arrays.
  bool is_starved(const cluster::Job& job) const;
  /// Whether the array was accepted more than `constants::max_first_task_wait` ago and none of its
  /// tasks is placed or finished: its first task is then placed on any machine where it fits.
  bool is_first_task_overdue(const cluster::Job& job) const;

 private:
  /// Fills `guaranteed_`.
  void find_guaranteed_jobs();
  SchedulingKey make_key(const cluster::Job& job) const;
  /// Whether the job was accepted more than `wait` ago and all its tasks are still waiting.
  bool has_waited_longer_than(const cluster::Job& job, Seconds wait) const;

  const cluster::ClusterState& cluster_state_;
  const PlanningContext& context_;
  std::set<const cluster::Job*> guaranteed_;
  std::map<const cluster::Job*, SchedulingKey> keys_;
};

}  // namespace poppystile::planning
