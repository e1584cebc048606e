// The leader's work: it keeps the model, answers workers, applies plans and writes records.
#pragma once

#include <functional>
#include <limits>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "cluster/attempt_numbers.hpp"
#include "cluster/cluster_state.hpp"
#include "coordination/api/job_api.hpp"
#include "coordination/election/leader_election.hpp"
#include "coordination/fleet/fleet_manager.hpp"
#include "coordination/journal/journal_writer.hpp"
#include "coordination/leader/heartbeat_handler.hpp"
#include "coordination/leader/job_finalizer.hpp"
#include "coordination/state/shared_state_cache.hpp"
#include "planning/planner.hpp"
#include "protocol/properties.hpp"
#include "protocol/worker_messages.hpp"

namespace poppystile::coordination {

class Leader {
 public:
  Leader(transport::Runtime& runtime, SharedStateCache& shared_state,
         KeyValueClient& key_value_client, LeaderElection& election, JournalWriter& journal,
         FleetManager& fleet, const protocol::Settings& settings,
         const protocol::Properties& properties);
  void start();

  // Answers a report as the leader, at once or when a start on its way may be sent.
  void handle_heartbeat(const protocol::Heartbeat& heartbeat, transport::Respond respond);
  TaskCounts counts(const std::string& job) const;
  std::vector<std::string> job_ids(std::size_t most) const;
  bool ready() const { return ready_; }
  // Machines that this leader has heard and not given up.
  std::size_t responsive_machine_count() const;

 private:
  // An answer that waits for the journal.
  struct PendingResponse {
    transport::Respond respond;
    std::vector<protocol::Command> commands;
    std::uint64_t incarnation = 0, sequence = 0;  // of the report
    std::uint64_t plan = 0;                       // the newest plan when the report came
    SteadyTime until;
  };

  // --- taking over ---
  void on_elected();
  void on_deposed();
  void load(std::uint64_t term);
  void rebuild_cluster_state(const storage::ReplayedState& replayed);
  void restore_machine(const std::string& id, const storage::ReplayedMachine& known,
                       const storage::ReplayedState& replayed);

  // --- jobs ---
  void on_job_changed(const std::string& id);
  cluster::Job& add_job(const std::string& id, const CachedJob& known);

  // --- reports ---
  bool may_start(const cluster::Placement& placement) const;
  bool has_start_in_flight(const cluster::Machine& machine) const;
  void send_pending_response(const std::string& machine);
  void send_due_responses();
  void send_response(cluster::Machine& machine, PendingResponse answer);

  // --- passes ---
  void tick();
  void check_leases();
  void rebalance_replicas();
  // Says once when the settings leave fewer connections than there are machines.
  void check_fleet_size();
  void plan();
  // Logs each gang's reason once.
  void log_waiting_gangs(std::map<std::string, planning::GangWaitReason> waits);
  void apply_placements(const std::vector<planning::PlannedPlacement>& placements,
                        std::uint64_t plan_attempt, SteadyTime now);

  transport::Runtime& runtime_;
  SharedStateCache& shared_state_;
  KeyValueClient& key_value_client_;
  LeaderElection& election_;
  JournalWriter& journal_;
  FleetManager& fleet_;
  const protocol::Settings& settings_;
  const protocol::Properties& properties_;
  std::map<std::string, planning::GangWaitReason> waiting_gangs_;  // of the newest plan
  cluster::ClusterState cluster_state_;
  JobFinalizer finalizer_;
  HeartbeatHandler heartbeats_;
  std::uint64_t term_ = 0;  // counts takeovers, to drop what belongs to an earlier one
  bool ready_ = false;
  bool waiting_for_lease_expiry_ =
      false;  // nothing is known of what runs: workers are not answered
  SteadyTime ready_at_;
  std::uint64_t plan_count_ = 0;  // tells whether a plan was made since a report came
  cluster::AttemptNumbers attempts_;
  bool plan_is_due_ = false;
  SteadyTime next_plan_at_;
  SteadyTime last_lease_check_at_;
  SteadyTime next_move_at_;
  bool warned_of_size_ = false;
  std::int64_t least_waiting_cpus_ = std::numeric_limits<std::int64_t>::max();
  std::map<std::string, PendingResponse> pending_responses_;  // by machine
};

}  // namespace poppystile::coordination
