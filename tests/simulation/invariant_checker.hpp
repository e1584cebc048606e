/// \file
/// The invariants of PROTOCOL, checked at every step of a simulation.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "protocol/submission.hpp"
#include "simulation/event_queue.hpp"

namespace poppystile::simulation {

/// The properties of a machine that placement constraints refer to.
struct HostMachine {
  std::string machine;
  std::string type;
  std::string zone;
  bool spot = false;
};

/// What must hold in every simulation.
enum class Invariant {
  at_most_one_copy,        ///< a task is on one machine at a time
  placement_constraints,   ///< zones, machine types and spot as the job asks
  team_quota,              ///< no team uses more than its limit
  cancellation_deadline,   ///< a cancelled job is off all machines in time
  accepted_job_durable,    ///< an accepted job stays known, and gets responses
  only_submitted_jobs,     ///< no job is reported that nobody submitted
  done_means_completed,    ///< a job is done only when all its tasks are
  terminal_state_final,    ///< a done or cancelled job stays that
  work_conserving,         ///< no job waits for long beside room that fits it
  fair_service,            ///< no class, team or class's largest jobs are left out
  invalid_request_refused  ///< a request that is wrong is not accepted
};

/// The name of the invariant as reports show it.
const char* name_of(Invariant invariant);

/// What a user's request asked for.
enum class RequestKind { submission, query, cancellation };

/// Knows the true state of all tasks and what users were informed of, and records every violation.
class InvariantChecker {
 public:
  InvariantChecker(EventQueue& queue, Seconds cancel_timeout)
      : queue_(queue), cancel_timeout_s_(cancel_timeout.count()) {}

  // Jobs.

  /// `max_millicores`: zero for no limit.
  void set_team_quota(const std::string& team, std::int64_t max_millicores) {
    team_quotas_[team] = max_millicores;
  }
  void record_submission(const protocol::JobSpec& job);
  /// Every task of this job fails, wherever it runs.
  void mark_failing(const std::string& job) { failing_jobs_.insert(job); }
  bool is_failing(const std::string& job) const { return failing_jobs_.contains(job); }
  /// Null when the job was never submitted.
  const protocol::JobSpec* find_job(const std::string& job) const;
  /// `handler` runs when a job's last task has completed. Replaces an earlier one.
  void on_job_completed(std::function<void(const std::string&)> handler) {
    on_job_completed_ = std::move(handler);
  }

  // Events on machines.

  void record_task_placed(const std::string& job, std::uint32_t index, const HostMachine& host);
  void record_task_removed(const std::string& job, std::uint32_t index, const std::string& machine);
  void record_task_completed(const std::string& job, std::uint32_t index);
  bool is_task_completed(const std::string& job, std::uint32_t index) const;
  /// The machines that tasks of the job are on.
  std::set<std::string> machines_of(const std::string& job) const;

  // Users' requests and the responses.

  void record_query(const std::string& job) { last_queried_at_[job] = queue_.now(); }
  /// `state`: of the job as the response says it; empty when the response has none.
  void record_response(const std::string& job, int status, const std::string& state,
                       RequestKind kind);
  void record_cancellation_confirmed(const std::string& job);
  void record_invalid_submission_accepted(const std::string& defect);
  const std::set<std::string>& accepted() const { return accepted_; }

  // Periodic checks.

  /// Faults last at least until this simulated time; responses and service are due after them.
  void expect_faults_until(double time) { faults_until_ = std::max(faults_until_, time); }
  void check_cancelled_jobs();
  /// Whether no task of the job is on a machine, some are left, and its team may have one more.
  bool is_waiting_within_quota(const std::string& job) const;
  /// To be called about once a second for every accepted job: `machine` has room for the job, which
  /// waits; empty when the job does not wait or finds no room.
  void check_waiting_job(const std::string& job, const std::string& machine);
  /// To be called once, at the end: whether all queries got responses, and all groups service.
  void check_final_service();

  // Results.

  /// One line for each violation: time, invariant, details.
  const std::vector<std::string>& violations() const { return violations_; }
  std::uint64_t starts() const { return starts_; }
  std::uint64_t failing_job_starts() const { return failing_job_starts_; }
  /// Starts of tasks long after the cancellation of their job was confirmed.
  std::uint64_t starts_after_cancellation() const { return starts_after_cancellation_; }
  std::size_t done_jobs() const { return done_.size(); }
  std::size_t accepted_jobs() const { return accepted_.size(); }
  std::size_t cancelled_jobs() const { return cancelled_at_.size(); }
  /// Tasks of this class that are on machines now.
  std::size_t running_tasks(const std::string& job_class) const;

 private:
  using Task = std::pair<std::string, std::uint32_t>;

  void record_violation(Invariant invariant, const std::string& detail);
  void check_placement(const protocol::JobSpec& spec, std::uint32_t index, const HostMachine& host);
  void check_zones(const protocol::JobSpec& spec, std::uint32_t index, const HostMachine& host);
  void check_start_of_cancelled(const std::string& job, const std::string& task_on_machine);
  bool has_task_on_machine(const std::string& job) const;
  void check_queries_answered();
  void check_group_served(const std::string& name, const std::vector<std::string>& jobs);
  void check_largest_served(const std::string& name, std::vector<std::string> jobs);

  EventQueue& queue_;
  double cancel_timeout_s_;
  std::map<std::string, std::int64_t> team_quotas_;  // millicores
  std::map<std::string, std::int64_t> team_usage_;   // millicores
  std::map<std::string, protocol::JobSpec> jobs_;
  std::map<Task, std::map<std::string, HostMachine>> hosts_;  // by task and machine
  std::map<std::string, std::set<std::uint32_t>> completed_;
  std::set<std::string> accepted_;
  std::set<std::string> done_;
  std::set<std::string> failing_jobs_;
  // Simulated times, by job.
  std::map<std::string, double> submitted_at_;
  std::map<std::string, double> first_started_at_;
  std::map<std::string, double> cancelled_at_;  // when the user got the confirmation
  std::map<std::string, double> last_answered_at_;
  std::map<std::string, double> last_queried_at_;  // newest query
  std::map<std::string, double> waiting_since_;    // beside room
  std::function<void(const std::string&)> on_job_completed_;
  double faults_until_ = 0;
  std::vector<std::string> violations_;
  std::uint64_t starts_ = 0;
  std::uint64_t starts_after_cancellation_ = 0;
  std::uint64_t failing_job_starts_ = 0;
};

}  // namespace poppystile::simulation
