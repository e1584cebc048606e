/// \file
/// Monitors the leases of workers: marks overdue heartbeats and expired leases, and determines when
/// all leases that former leaders kept alive must have expired.
#pragma once

#include <functional>

#include "cluster/cluster_state.hpp"
#include "coordination/election/leader_election.hpp"
#include "coordination/leader/machine_health.hpp"
#include "coordination/leader/task_reconciler.hpp"
#include "protocol/settings.hpp"
#include "transport/event_loop.hpp"

namespace poppystile::coordination {

class LeaseMonitor {
 public:
  /// `request_plan` is called when a machine's lease has expired.
  LeaseMonitor(const transport::Runtime& runtime, cluster::ClusterState& cluster_state,
               const LeaderElection& election, TaskReconciler& reconciler,
               const MachineHealth& health, const protocol::Settings& settings,
               std::function<void()> request_plan);

  /// Checks every machine once, and evicts all tasks from machines whose worker must have ended
  /// them because its lease has expired.
  void check();

 private:
  void evict_if_former_leases_expired(cluster::Machine& machine);
  bool is_overdue(const cluster::Machine& machine) const;
  void expire_lease_if_due(cluster::Machine& machine);

  const transport::Runtime& runtime_;
  cluster::ClusterState& cluster_state_;
  const LeaderElection& election_;
  TaskReconciler& reconciler_;
  const MachineHealth& health_;
  const protocol::Settings& settings_;
  std::function<void()> request_plan_;
};

}  // namespace poppystile::coordination
