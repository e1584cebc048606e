/// \file
/// What only the leader does: wires the parts together, starts and ends their work with the term,
/// and runs their passes in a fixed order.
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

/// Exists on every controller; does nothing while another one leads.
class Leader {
 public:
  Leader(transport::Runtime& runtime, SharedStateCache& shared_state,
         KeyValueClient& key_value_client, LeaderElection& election, JournalWriter& journal,
         FleetManager& fleet, const protocol::Settings& settings,
         const protocol::Properties& properties);

  /// Starts the passes; called once.
  void start();

  /// Answers a heartbeat as the leader, at once or when a start for the machine may be sent.
  void handle_heartbeat(const protocol::Heartbeat& heartbeat, transport::Respond respond);

  /// Counts of a job's tasks; zeros if the job is not known.
  TaskCounts counts(const std::string& job) const { return jobs_.counts(job); }

  /// Ids of at most `max` jobs.
  std::vector<std::string> job_ids(std::size_t max) const { return jobs_.ids(max); }

  /// Whether this controller leads and has rebuilt the cluster state.
  bool ready() const { return ready_; }

  /// Number of machines that have reported to this leader and whose lease has not expired.
  std::size_t responsive_machine_count() const;

 private:
  void on_elected();
  void on_recovered();
  void on_deposed();
  void on_machine_removed(cluster::Machine& machine, const std::string& why);
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
