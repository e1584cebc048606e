/// \file
/// Watches the leases of workers: which heartbeats are overdue, which leases have expired, and when
/// those that former leaders kept alive have surely expired.
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

  /// Looks at every machine once, and evicts the tasks of those whose worker has surely ended them.
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
