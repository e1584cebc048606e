/// \file
/// Tracks the attempts to run gangs: how a change of one task affects the other tasks of its gang,
/// and when all of them must be stopped. Changes the cluster state only: the planner places tasks,
/// other parts of the leader write the journal and respond to workers.
///
/// All tasks of an attempt are placed by one plan and share one attempt number. Until a task of the
/// attempt runs, a lost task may be replaced under the same number. After that, the loss of one
/// task ends the attempt: the other tasks are stopped, and the next attempt begins when every task
/// is proven to be off its machine.
#pragma once

#include <cstdint>

#include "cluster/cluster_state.hpp"
#include "protocol/settings.hpp"
#include "protocol/worker_messages.hpp"

namespace poppystile::coordination {

class GangTracker {
 public:
  explicit GangTracker(const protocol::Settings& settings) : settings_(settings) {}

  /// Begins an attempt with this number when tasks of the gang were placed. Does nothing during an
  /// attempt: the tasks then replace lost ones under the number of that attempt.
  static void on_placed(cluster::Job& gang, std::uint64_t attempt, SteadyTime now);
  /// Restores the attempt from the placements in the journal of a former leader, if there are any.
  /// Abandons it if it is incomplete: a task waits, or the placements differ in attempt number.
  static void on_restored(cluster::Job& gang, SteadyTime now);
  /// Applies a task state from a heartbeat: the attempt starts with the first task that runs.
  static void on_reported(cluster::Job& gang, protocol::TaskState state, SteadyTime now);
  /// Handles a task that was proven to be off `machine` without having completed, and has already
  /// been requeued. Ends the attempt if no placement remains, and abandons it if it is running.
  /// Otherwise records the time and the machine, which restrict where the task is placed again.
  static void on_task_lost(cluster::Job& gang, const std::string& machine, SteadyTime now);

  /// Stops all tasks together, with time to save. Abandons an attempt that has not started.
  static void stop(cluster::Job& gang);
  /// Stops all tasks without time to save, since there is nothing to save. Does nothing if there is
  /// no attempt, or if it is already stopping or ending.
  static void abandon(cluster::Job& gang);
  /// Abandons an attempt that has not started if a lost task was not replaced within
  /// `GangTimes::task_replacement_window` of the attempt's placement.
  void check_assembly(cluster::Job& gang, SteadyTime now) const;

  /// Seconds that a stopped task gets: to save its progress, and to wait until the stop commands
  /// have reached the gang's other tasks.
  Seconds stop_grace(const cluster::Job& gang) const;

 private:
  static void stop_placements(cluster::Job& gang);

  const protocol::Settings& settings_;
};

}  // namespace poppystile::coordination
