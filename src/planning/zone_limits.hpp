/// \file
/// The limits on a job's tasks in each zone that `one_zone` and `spread` set.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "cluster/cluster_state.hpp"

namespace poppystile::planning {

/// Counts the tasks of constrained jobs by zone: those already placed, and those that a plan adds.
class ZoneLimits {
 public:
  /// `cluster_state` must outlive this object, and contain every job that is passed to it.
  explicit ZoneLimits(const cluster::ClusterState& cluster_state) : cluster_state_(cluster_state) {}

  /// How many more tasks of the job the zone may take. With `spread`, one zone has at most half of
  /// the tasks, rounded up; with `one_zone`, all tasks are in the zone of the first one. For a job
  /// without these constraints, returns the number of all its tasks.
  std::uint32_t remaining_tasks(const protocol::JobSpec& job, const std::string& zone) {
    return is_constrained(job) ? remaining_constrained_tasks(job, zone) : job.tasks;
  }
  /// Whether the zone may take one more task of the job.
  bool allows(const protocol::JobSpec& job, const std::string& zone) {
    return remaining_tasks(job, zone) > 0;
  }
  /// Counts one task of the job as placed in the zone.
  void add(const protocol::JobSpec& job, const std::string& zone) {
    if (is_constrained(job)) ++tasks_by_zone(job)[zone];
  }

 private:
  using TasksByZone = std::map<std::string, std::uint32_t>;

  static bool is_constrained(const protocol::JobSpec& job) { return job.one_zone || job.spread; }
  std::uint32_t remaining_constrained_tasks(const protocol::JobSpec& job, const std::string& zone);
  /// The number of the job's tasks by zone. The first call for a job counts its placements.
  TasksByZone& tasks_by_zone(const protocol::JobSpec& job);

  const cluster::ClusterState& cluster_state_;
  std::map<std::string, TasksByZone> tasks_by_job_;  // by job id
};

}  // namespace poppystile::planning
