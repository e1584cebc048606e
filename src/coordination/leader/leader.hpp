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

class Dispatcher {
 public:
  Dispatcher(transport::Runtime& runtime, Directory& directory, StateStore& store,
             Leadership& leadership, JournalDesk& journal, CloudDesk& cloud,
             const protocol::Settings& settings, const protocol::Properties& properties);
  void start();

  // Answers a report as the leader, at once or when a start on its way may be sent.
  void report(const protocol::Report& report, transport::Respond respond);
  TaskCounts counts(const std::string& job) const;
  std::vector<std::string> job_ids(std::size_t most) const;
  bool ready() const { return ready_; }
  // Machines that this leader has heard and not given up.
  std::size_t live_machines() const;

 private:
  // An answer that waits for the journal.
  struct PendingResponse {
    transport::Respond respond;
    std::vector<protocol::Command> commands;
    std::uint64_t session = 0, sequence = 0;  // of the report
    std::uint64_t plan = 0;                   // the newest plan when the report came
    double until_s = 0;
  };

  // --- taking over ---
  void won();
  void lost();
  void load(std::uint64_t term);
  void build(const storage::Ledger& ledger);
  void restore_machine(const std::string& id, const storage::LedgerMachine& known,
                       const storage::Ledger& ledger);

  // --- jobs ---
  void job_changed(const std::string& id);
  cluster::Job& add_job(const std::string& id, const KnownJob& known);

  // --- reports ---
  bool may_start(const cluster::Placement& placement) const;
  bool start_under_way(const cluster::Machine& machine) const;
  void answer_pending_of(const std::string& machine);
  void answer_pending();
  void send_answer(cluster::Machine& machine, PendingResponse answer);

  // --- passes ---
  void tick();
  void watch_leases();
  void move_replicas();
  // Says once when the settings leave fewer connections than there are machines.
  void check_fleet_size();
  void plan();
  // Logs each gang's reason once.
  void log_waiting_gangs(std::map<std::string, planning::GangWait> waits);
  void apply_placements(const std::vector<planning::PlannedPlacement>& placements,
                        std::uint64_t plan_attempt, double now_s);

  transport::Runtime& runtime_;
  Directory& directory_;
  StateStore& store_;
  Leadership& leadership_;
  JournalDesk& journal_;
  CloudDesk& cloud_;
  const protocol::Settings& settings_;
  const protocol::Properties& properties_;
  std::map<std::string, planning::GangWait> waiting_gangs_;  // of the newest plan
  cluster::Model model_;
  JobFinalizer finalizer_;
  ReportHandler reports_;
  std::uint64_t term_ = 0;  // counts takeovers, to drop what belongs to an earlier one
  bool ready_ = false;
  bool quiet_ = false;  // nothing is known of what runs: workers are not answered
  double ready_s_ = 0;
  std::uint64_t plans_ = 0;  // tells whether a plan was made since a report came
  cluster::AttemptNumbers attempts_;
  bool plan_due_ = false;
  double plan_at_s_ = 0;
  double leases_s_ = 0;
  double move_at_s_ = 0;
  bool warned_of_size_ = false;
  std::int64_t least_waiting_cpus_ = std::numeric_limits<std::int64_t>::max();
  std::map<std::string, PendingResponse> pending_responses_;  // by machine
};

}  // namespace poppystile::coordination
