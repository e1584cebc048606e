/// \file
/// Rebuilds the cluster state after an election from the job records of the shared state and the
/// journal of former leaders.
#pragma once

#include <functional>
#include <string>

#include "clock.hpp"
#include "cluster/cluster_state.hpp"
#include "coordination/election/leader_election.hpp"
#include "coordination/fleet/fleet_manager.hpp"
#include "coordination/journal/journal_writer.hpp"
#include "coordination/leader/job_registry.hpp"
#include "coordination/state/shared_state_cache.hpp"
#include "coordination/term_scope.hpp"
#include "protocol/settings.hpp"
#include "storage/replayed_state.hpp"
#include "transport/event_loop.hpp"

namespace poppystile::coordination {

class FailoverRecovery {
 public:
  /// `on_recovered` is called once for each `begin`, after the cluster state has been rebuilt. It
  /// is not called if `end_term` comes first.
  FailoverRecovery(transport::Runtime& runtime, const SharedStateCache& shared_state,
                   const LeaderElection& election, JournalWriter& journal, FleetManager& fleet,
                   cluster::ClusterState& cluster_state, JobRegistry& jobs,
                   const protocol::Settings& settings, std::function<void()> on_recovered);

  /// Starts a recovery after this controller was elected. Transactions of former leaders can no
  /// longer commit, since they are conditional on an older version of the leader's key.
  void begin();

  /// Cancels a recovery in progress, because this controller was deposed.
  void end_term();

  /// Whether the journal is unreadable, so that any task may still run on any machine, and this
  /// controller waits for all worker leases to expire. Every heartbeat must be rejected until then,
  /// since a normal response would extend a lease.
  bool is_waiting_for_lease_expiry() const { return is_waiting_for_lease_expiry_; }

 private:
  void wait_for_shared_state();
  void load_journal();
  void wait_for_lease_expiry();
  void reset_journal();
  void rebuild_cluster_state(const storage::ReplayedState& replayed);
  void restore_jobs(const storage::ReplayedState& replayed);
  void restore_machine(const std::string& id, const storage::ReplayedMachine& recorded,
                       const storage::ReplayedState& replayed, SteadyTime now);

  transport::Runtime& runtime_;
  const SharedStateCache& shared_state_;
  const LeaderElection& election_;
  JournalWriter& journal_;
  FleetManager& fleet_;
  cluster::ClusterState& cluster_state_;
  JobRegistry& jobs_;
  const protocol::Settings& settings_;
  std::function<void()> on_recovered_;
  TermScope term_;
  bool is_waiting_for_lease_expiry_ = false;
};

}  // namespace poppystile::coordination
