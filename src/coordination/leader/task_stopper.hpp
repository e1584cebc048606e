/// \file
/// Marks tasks to be stopped. The stop command itself goes with the response to the next heartbeat
/// of their machine (HeartbeatHandler).
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

  /// Stops the task; if it belongs to a gang, all tasks of the gang together.
  void stop_task(cluster::Placement& placement) const;

  /// Stops all tasks of a job that was cancelled. Does nothing if the job is not known.
  void stop_job(const std::string& id) const;

  /// Seconds that a task of the job gets to save a checkpoint when it is stopped; 0 if it cannot
  /// save one, if nothing is left to save, or if `job` is null.
  Seconds grace_period(const cluster::Job* job) const;

 private:
  cluster::ClusterState& cluster_state_;
  const GangTracker& gangs_;
};

}  // namespace poppystile::coordination
