/// \file
/// In which order waiting jobs are planned, and which of them are within their team's guarantee.
#pragma once

#include <map>
#include <set>

#include "planning/planner.hpp"

namespace poppystile::planning {

/// Where an array stands among those of its priority: the lower rank first, then the earlier time.
struct SchedulingKey {
  int rank = 0;
  WallTime at;
};

class JobOrder {
 public:
  JobOrder(const cluster::ClusterState& cluster_state, const PlanningContext& context);

  /// Computes the key of an array; without it jobs compare by age.
  void add_array(const cluster::Job& job);

  /// Strict weak order: priority, then guaranteed work, then scheduling keys, then age.
  bool before(const cluster::Job* a, const cluster::Job* b) const;
  /// By time of acceptance; ids break ties, so that equal states give equal plans.
  static bool accepted_before(const cluster::Job* a, const cluster::Job* b);

  /// Whether the job fits into its team's guarantee together with the team's earlier unfinished
  /// jobs.
  bool is_guaranteed(const cluster::Job& job) const { return guaranteed_.contains(&job); }
  /// Whether an array has waited so long that its first tasks go before everything else.
  bool is_starved(const cluster::Job& job) const;
  /// Whether an array has waited so long that its first task takes any free room.
  bool must_begin(const cluster::Job& job) const;

 private:
  void find_guaranteed();
  SchedulingKey key_of(const cluster::Job& job) const;
  bool has_waited(const cluster::Job& job, Seconds wait) const;

  const cluster::ClusterState& cluster_state_;
  const PlanningContext& context_;
  std::set<const cluster::Job*> guaranteed_;
  std::map<const cluster::Job*, SchedulingKey> keys_;
};

}  // namespace poppystile::planning
