/// \file
/// Writes the final records of jobs that are done or cancelled and have left every machine.
///
/// The final record and the removal of the job's are one change: a job is never seen in between. It
/// is conditional on the job's version, so that a cancellation that comes first wins.
#pragma once

#include <set>
#include <string>
#include <vector>

#include "cluster/cluster_state.hpp"
#include "coordination/election/leader_election.hpp"
#include "coordination/state/key_value_client.hpp"
#include "coordination/state/shared_state_cache.hpp"
#include "protocol/settings.hpp"

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

  /// Forgets everything: this node begins or ends to lead.
  void reset();
  /// Notes the job when its final record is due.
  void enqueue_if_final(const std::string& id, const cluster::Job& job);
  void forget(const std::string& id) { due_.erase(id); }
  /// Called often while leading.
  void pump();

 private:
  /// As many of the due jobs as fit into one transaction.
  std::vector<std::string> take_due(protocol::Transaction& transaction);
  static protocol::JobState final_state(const cluster::Job& job);
  void on_write_result(const std::vector<std::string>& jobs, const TransactionResult& result);
  void retry_later(const std::vector<std::string>& jobs, const TransactionResult& result);

  transport::Runtime& runtime_;
  cluster::ClusterState& cluster_state_;
  SharedStateCache& shared_state_;
  KeyValueClient& key_value_client_;
  LeaderElection& election_;
  const protocol::Settings& settings_;
  std::uint64_t term_ = 0;  // to drop answers to what was sent before a reset
  bool writing_ = false;
  SteadyTime next_write_at_;
  SteadyTime last_sweep_at_;
  std::set<std::string> due_;
};

}  // namespace poppystile::coordination
