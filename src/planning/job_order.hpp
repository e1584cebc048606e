/// \file
/// In which order waiting jobs are planned, and which of them are within their team's guarantee.
#pragma once

#include <cstdint>
#include <map>
#include <set>

#include "planning/planner.hpp"

namespace poppystile::planning {

/// Whether an array can still be finished about in time if it starts now.
enum class DeadlineStatus : std::uint8_t { attainable, missed };

/// Where an array stands among those of its priority: by status, then the earlier time first.
struct SchedulingKey {
  DeadlineStatus status = DeadlineStatus::attainable;
  WallTime time;  // attainable: the latest start that is in time; missed: the submission
};

/// Ranks the jobs of one plan.
class JobOrder {
 public:
  /// Both arguments must outlive the order and not change meanwhile.
  JobOrder(const cluster::ClusterState& cluster_state, const PlanningContext& context);

  /// Computes the key of an array. Jobs without a key compare by age.
  void add_array(const cluster::Job& job);

  /// Strict weak order: priority, then guaranteed work, then scheduling keys, then age.
  bool before(const cluster::Job* a, const cluster::Job* b) const;
  /// By time of acceptance; ids break ties, so that equal states give equal plans.
  static bool accepted_before(const cluster::Job* a, const cluster::Job* b);

  /// Whether the job fits into its team's guarantee together with the team's earlier unfinished
  /// jobs.
  bool is_guaranteed(const cluster::Job& job) const { return guaranteed_.contains(&job); }
  /// Whether no task of the array has begun for `constants::starvation_wait`: its first tasks then
  /// go before all other arrays.
  bool is_starved(const cluster::Job& job) const;
  /// Whether no task of the array has begun for `constants::max_first_task_wait`: its first task
  /// then takes any free room.
  bool is_first_task_overdue(const cluster::Job& job) const;

 private:
  void find_guaranteed_jobs();
  SchedulingKey make_key(const cluster::Job& job) const;
  /// Whether no task of the job has begun, and it was accepted longer than `wait` ago.
  bool has_not_begun_for(const cluster::Job& job, Seconds wait) const;

  const cluster::ClusterState& cluster_state_;
  const PlanningContext& context_;
  std::set<const cluster::Job*> guaranteed_;
  std::map<const cluster::Job*, SchedulingKey> keys_;
};

}  // namespace poppystile::planning
