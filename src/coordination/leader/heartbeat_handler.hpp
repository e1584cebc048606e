/// \file
/// Processes workers' heartbeats and creates the stop and forget commands of the responses. The
/// HeartbeatResponder adds the start commands when it sends a response.
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
  /// `request_plan` is called when the next plan may place tasks that earlier plans could not.
  HeartbeatHandler(const transport::Runtime& runtime, cluster::ClusterState& cluster_state,
                   const LeaderElection& election, JournalWriter& journal, FleetManager& fleet,
                   TaskReconciler& reconciler, const MachineHealth& health,
                   const TaskStopper& stopper, const protocol::Settings& settings,
                   std::function<void()> request_plan);

  /// Returns the machine that sent the heartbeat. Registers it if the cluster state does not hold
  /// it; returns null if this leader released it, if its worker has not seen this leader's token,
  /// or if its type is unknown.
  cluster::Machine* find_or_adopt_machine(const protocol::Heartbeat& heartbeat);

  /// Whether the heartbeat is newer than all heartbeats processed for the machine so far. Duplicate
  /// and delayed heartbeats describe a past state and must not be processed.
  static bool is_newer(const protocol::Heartbeat& heartbeat, const cluster::Machine& machine);

  /// Applies a heartbeat, for which `is_newer` must hold, to the machine and its placements.
  /// Returns stop commands, and forget commands for exited tasks that the worker need not report
  /// any more and that no copy of a start command can start again.
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
