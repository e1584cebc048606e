/// \file
/// Writes the final records of jobs that have completed, or that were cancelled and have no
/// placement left.
///
/// One transaction creates the final record and deletes the job record, so a job always has exactly
/// one of them. It is conditional on the version of the job record, so that a cancellation that
/// commits first takes precedence.
#pragma once

#include <set>
#include <string>
#include <vector>

#include "clock.hpp"
#include "cluster/cluster_state.hpp"
#include "coordination/election/leader_election.hpp"
#include "coordination/state/key_value_client.hpp"
#include "coordination/state/shared_state_cache.hpp"
#include "coordination/term_scope.hpp"
#include "protocol/settings.hpp"
#include "transport/event_loop.hpp"

namespace poppystile::coordination {

class JobFinalizer {
 public:
  JobFinalizer(transport::Runtime& runtime, cluster::ClusterState& cluster_state,
               SharedStateCache& shared_state, KeyValueClient& key_value_client,
               LeaderElection& election, const protocol::Settings& settings)
      : runtime_(runtime),
        cluster_state_(cluster_state),
        shared_state_(shared_state),
        key_value_client_(key_value_client),
        election_(election),
        settings_(settings) {}

  /// Clears the queue and ignores the result of a write in flight, because the term has ended.
  void reset();

  /// Queues the job if its final record may be written: all its tasks have finished, or it was
  /// cancelled and has no placement left.
  void enqueue_if_final(const std::string& id, const cluster::Job& job);

  /// Removes the job from the queue, because its job record was deleted.
  void remove_from_queue(const std::string& id) { queue_.erase(id); }

  /// Writes the next final records, one transaction at a time. Must be called on each tick while
  /// this controller leads.
  void pump();

 private:
  void sweep_if_due(SteadyTime now);
  /// Moves jobs from the queue into the transaction, up to the limit on changes; returns their ids.
  std::vector<std::string> fill_transaction(protocol::Transaction& transaction);
  static protocol::JobState final_state(const cluster::Job& job);
  void on_write_result(const std::vector<std::string>& jobs, const TransactionResult& result);
  void retry_later(const std::vector<std::string>& jobs, const TransactionResult& result);

  transport::Runtime& runtime_;
  cluster::ClusterState& cluster_state_;
  SharedStateCache& shared_state_;
  KeyValueClient& key_value_client_;
  LeaderElection& election_;
  const protocol::Settings& settings_;
  TermScope term_;
  bool write_in_flight_ = false;
  SteadyTime next_write_at_;
  SteadyTime last_sweep_at_;
  std::set<std::string> queue_;  // Ids of the queued jobs.
};

}  // namespace poppystile::coordination
