/// \file
/// Runs the work of the elected leader: connects its components, starts and ends them with the
/// leader's term, and runs their periodic passes in a fixed order.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "clock.hpp"
#include "cluster/cluster_state.hpp"
#include "coordination/api/job_api.hpp"
#include "coordination/election/leader_election.hpp"
#include "coordination/fleet/fleet_manager.hpp"
#include "coordination/journal/journal_writer.hpp"
#include "coordination/leader/failover_recovery.hpp"
#include "coordination/leader/gang_tracker.hpp"
#include "coordination/leader/heartbeat_handler.hpp"
#include "coordination/leader/heartbeat_responder.hpp"
#include "coordination/leader/job_finalizer.hpp"
#include "coordination/leader/job_registry.hpp"
#include "coordination/leader/lease_monitor.hpp"
#include "coordination/leader/machine_health.hpp"
#include "coordination/leader/replica_rebalancer.hpp"
#include "coordination/leader/scheduling_loop.hpp"
#include "coordination/leader/task_reconciler.hpp"
#include "coordination/leader/task_stopper.hpp"
#include "coordination/state/shared_state_cache.hpp"
#include "protocol/properties.hpp"
#include "protocol/worker_messages.hpp"
#include "transport/event_loop.hpp"
#include "transport/http.hpp"

namespace poppystile::coordination {

/// Exists on every controller; inactive unless this controller leads.
class Leader {
 public:
  Leader(transport::Runtime& runtime, SharedStateCache& shared_state,
         KeyValueClient& key_value_client, LeaderElection& election, JournalWriter& journal,
         FleetManager& fleet, const protocol::Settings& settings,
         const protocol::Properties& properties);

  /// Starts the periodic passes. Must be called once.
  void start();

  /// Processes a heartbeat and responds to it, at once or when a start command for the machine may
  /// be sent (HeartbeatResponder). This controller must be the leader.
  void handle_heartbeat(const protocol::Heartbeat& heartbeat, transport::Respond respond);

  /// Numbers of the job's finished and running tasks; zeros if the cluster state has no such job.
  TaskCounts counts(const std::string& job) const { return jobs_.counts(job); }

  /// Ids of at most `max` jobs, in no particular order.
  std::vector<std::string> job_ids(std::size_t max) const { return jobs_.ids(max); }

  /// Whether this controller leads and has rebuilt the cluster state.
  bool ready() const { return ready_; }

  /// Number of machines that have sent a heartbeat to this leader and whose lease has not expired.
  std::size_t responsive_machine_count() const;

 private:
  void on_elected();
  void on_recovered();
  void on_deposed();
  void on_machine_removed(cluster::Machine& machine, const std::string& reason);
  void tick();
  void run_fleet_passes();
  void check_fleet_size();

  transport::Runtime& runtime_;
  KeyValueClient& key_value_client_;
  LeaderElection& election_;
  JournalWriter& journal_;
  FleetManager& fleet_;
  const protocol::Settings& settings_;
  cluster::ClusterState cluster_state_;
  GangTracker gangs_;
  TaskStopper stopper_;
  MachineHealth health_;
  JobFinalizer finalizer_;
  SchedulingLoop scheduling_;
  JobRegistry jobs_;
  TaskReconciler reconciler_;
  HeartbeatHandler heartbeats_;
  HeartbeatResponder responder_;
  LeaseMonitor leases_;
  ReplicaRebalancer rebalancer_;
  FailoverRecovery recovery_;
  bool ready_ = false;
  SteadyTime last_lease_check_at_;
  bool warned_of_fleet_size_ = false;
};

}  // namespace poppystile::coordination
