/// \file
/// Marks tasks to be stopped. HeartbeatHandler adds the stop command to the response to the next
/// heartbeat of their machine.
#pragma once

#include <string>

#include "clock.hpp"
#include "cluster/cluster_state.hpp"
#include "coordination/leader/gang_tracker.hpp"

namespace poppystile::coordination {

class TaskStopper {
 public:
  TaskStopper(cluster::ClusterState& cluster_state, const GangTracker& gangs)
      : cluster_state_(cluster_state), gangs_(gangs) {}

  /// Stops the task, or all tasks of its gang together if it belongs to one.
  void stop_task(cluster::Placement& placement) const;

  /// Stops all tasks of a cancelled job. Does nothing if the cluster state has no such job.
  void stop_job(const std::string& id) const;

  /// Seconds that a task of the job gets to save a checkpoint when it is stopped; 0 if it cannot
  /// save one, if the job is cancelled and needs none, or if `job` is null.
  Seconds grace_period(const cluster::Job* job) const;

 private:
  cluster::ClusterState& cluster_state_;
  const GangTracker& gangs_;
};

}  // namespace poppystile::coordination
