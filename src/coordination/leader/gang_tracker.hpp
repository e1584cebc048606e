/// \file
/// Follows the attempts of gangs: what the state of one task means for the others, and when all of
/// them must be stopped. Changes the cluster state only: the planner places tasks, other parts of
/// the leader write the journal and respond to workers.
///
/// An attempt is placed whole and carries one number. Before it has begun, a task that is lost may
/// be replaced under the same number. Once it runs, the loss of one task ends it: the others are
/// stopped, and the next attempt begins when every task is proven to be off its machine.
#pragma once

#include <cstdint>

#include "cluster/cluster_state.hpp"
#include "protocol/settings.hpp"
#include "protocol/worker_messages.hpp"

namespace poppystile::coordination {

class GangTracker {
 public:
  explicit GangTracker(const protocol::Settings& settings) : settings_(settings) {}

  /// Tasks of the gang were placed: a new attempt with this number, or replacements in it.
  static void on_placed(cluster::Job& gang, std::uint64_t attempt, SteadyTime now);
  /// Derives the attempt from the placements that a former leader left. One that is named only in
  /// part is given up.
  static void on_restored(cluster::Job& gang, SteadyTime now);
  static void on_reported(cluster::Job& gang, protocol::TaskState state, SteadyTime now);
  /// A task was proven to be off the machine without having completed; it is requeued already.
  static void on_task_lost(cluster::Job& gang, const std::string& machine, SteadyTime now);

  /// Lets all tasks save and stop together.
  static void stop(cluster::Job& gang);
  /// Ends the attempt: nothing is left to save.
  static void abandon(cluster::Job& gang);
  /// Abandons an attempt whose lost task was not replaced in time.
  void check_assembly(cluster::Job& gang, SteadyTime now) const;

  /// Seconds that a stopped task gets: to save, and to wait until all others have been told.
  Seconds stop_grace(const cluster::Job& gang) const;

 private:
  static void stop_placements(cluster::Job& gang);

  const protocol::Settings& settings_;
};

}  // namespace poppystile::coordination
