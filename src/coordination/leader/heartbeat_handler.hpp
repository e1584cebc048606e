/// \file
/// Takes in workers' heartbeats, and makes the commands that answer them. Starts are not among
/// those: the HeartbeatResponder adds them when the response is sent.
#pragma once

#include <functional>
#include <vector>

#include "cluster/cluster_state.hpp"
#include "coordination/election/leader_election.hpp"
#include "coordination/fleet/fleet_manager.hpp"
#include "coordination/journal/journal_writer.hpp"
#include "coordination/leader/machine_health.hpp"
#include "coordination/leader/task_reconciler.hpp"
#include "coordination/leader/task_stopper.hpp"
#include "protocol/settings.hpp"
#include "protocol/worker_messages.hpp"
#include "transport/event_loop.hpp"

namespace poppystile::coordination {

class HeartbeatHandler {
 public:
  /// `request_plan` is called when tasks may be placed that could not be before.
  HeartbeatHandler(const transport::Runtime& runtime, cluster::ClusterState& cluster_state,
                   const LeaderElection& election, JournalWriter& journal, FleetManager& fleet,
                   TaskReconciler& reconciler, const MachineHealth& health,
                   const TaskStopper& stopper, const protocol::Settings& settings,
                   std::function<void()> request_plan);

  /// Returns the machine that sent the heartbeat, and registers it if it is not known yet; null if
  /// it may not be registered.
  cluster::Machine* find_or_adopt_machine(const protocol::Heartbeat& heartbeat);

  /// Whether the heartbeat is newer than all that were processed for the machine: copies and late
  /// ones tell nothing.
  static bool is_newer(const protocol::Heartbeat& heartbeat, const cluster::Machine& machine);

  /// Applies a heartbeat, which must be newer, to the machine and its placements. Returns the stops
  /// that the worker is to carry out, and the exited tasks that it may forget.
  std::vector<protocol::Command> process(cluster::Machine& machine,
                                         const protocol::Heartbeat& heartbeat);

 private:
  void begin_incarnation(cluster::Machine& machine, std::uint64_t incarnation);
  void update_machine(cluster::Machine& machine, const protocol::Heartbeat& heartbeat);
  void prepare_for_preemption(cluster::Machine& machine, Seconds time_left);
  std::vector<protocol::Command> commands_for(cluster::Machine& machine,
                                              const protocol::Heartbeat& heartbeat) const;
  void erase_forgotten_placements(cluster::Machine& machine, std::uint64_t sequence) const;

  const transport::Runtime& runtime_;
  cluster::ClusterState& cluster_state_;
  const LeaderElection& election_;
  JournalWriter& journal_;
  FleetManager& fleet_;
  TaskReconciler& reconciler_;
  const MachineHealth& health_;
  const TaskStopper& stopper_;
  const protocol::Settings& settings_;
  std::function<void()> request_plan_;
};

}  // namespace poppystile::coordination
