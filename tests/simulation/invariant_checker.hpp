/// \file
/// Checks the invariants of PROTOCOL throughout a simulation.
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

/// A machine with the properties that placement constraints refer to.
struct HostMachine {
  std::string machine;
  std::string type;
  std::string zone;
  bool spot = false;
};

/// The invariants that must hold in every simulation.
enum class Invariant {
  /// A task is on at most one machine at a time.
  at_most_one_copy,
  /// A task is only on a machine whose zone, type and spot property the job allows. All tasks of a
  /// job with `one_zone` are in one zone; one zone has at most half, rounded up, of the tasks of a
  /// job with `spread`.
  placement_constraints,
  /// No team uses more CPUs than its quota.
  team_quota,
  /// A cancelled job has left all machines within the cancellation timeout.
  cancellation_deadline,
  /// An accepted job is never lost or refused later, and queries for it get responses.
  accepted_job_durable,
  /// No controller reports a job that was never submitted.
  only_submitted_jobs,
  /// A job is reported as done only after all of its tasks have completed.
  done_means_completed,
  /// A job that was reported as done or cancelled stays in that state.
  terminal_state_final,
  /// No job waits for more than 90 s, counted from the end of the last fault, while the machines
  /// have capacity for it.
  work_conserving,
  /// No class and no team is starved, and neither are the largest jobs of a class: at least half of
  /// the jobs of each class and team start, and at least half of the tenth of a class's jobs with
  /// the most tasks start within 240 s. Cancelled jobs and jobs submitted in the last 240 s do not
  /// count.
  fair_service,
  /// An invalid submission is never accepted.
  invalid_request_refused
};

/// Returns the invariant's name for violation messages.
const char* name_of(Invariant invariant);

/// The kind of a user's request.
enum class RequestKind { submission, query, cancellation };

/// Tracks the actual state of all tasks and the responses that users got, and records every
/// violation of an invariant.
class InvariantChecker {
 public:
  InvariantChecker(EventQueue& queue, Seconds cancel_timeout)
      : queue_(queue), cancel_timeout_s_(cancel_timeout.count()) {}

  // Jobs.

  /// `max_millicores` is zero if the team has no limit.
  void set_team_quota(const std::string& team, std::int64_t max_millicores) {
    team_quotas_[team] = max_millicores;
  }
  void record_submission(const protocol::JobSpec& job);
  /// Makes every task of this job fail on every machine.
  void mark_failing(const std::string& job) { failing_jobs_.insert(job); }
  bool is_failing(const std::string& job) const { return failing_jobs_.contains(job); }
  /// Returns the submitted job, or null if it was never submitted.
  const protocol::JobSpec* find_job(const std::string& job) const;
  /// Sets the handler that runs with the job's id when its last task has completed. Replaces the
  /// previous handler.
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

  // Users' requests and their responses.

  void record_query(const std::string& job) { last_queried_at_[job] = queue_.now(); }
  /// `state` is the job's state in the response; empty if the response contains none.
  void record_response(const std::string& job, int status, const std::string& state,
                       RequestKind kind);
  void record_cancellation_confirmed(const std::string& job);
  void record_invalid_submission_accepted(const std::string& defect);
  const std::set<std::string>& accepted() const { return accepted_; }

  // Periodic checks.

  /// Declares that faults may have effects until this simulated time. The time limits for responses
  /// and for waiting jobs count from the end of the last fault.
  void expect_faults_until(double time) { faults_until_ = std::max(faults_until_, time); }
  void check_cancelled_jobs();
  /// Whether the job is not cancelled, has uncompleted tasks and none on a machine, and its team's
  /// quota allows one more task (for a gang: all of its tasks).
  bool is_waiting_within_quota(const std::string& job) const;
  /// Must be called about once a second for every accepted job. `machine` is a machine with free
  /// capacity for the job if the job waits, and empty if it does not wait or there is no capacity.
  void check_waiting_job(const std::string& job, const std::string& machine);
  /// Must be called once, at the end. Checks that all queries got responses and that no class, no
  /// team and no class's largest jobs were starved.
  void check_final_service();

  // Results.

  /// One line for each violation: simulated time in seconds, invariant and details.
  const std::vector<std::string>& violations() const { return violations_; }
  /// Number of tasks placed on machines, restarts included.
  std::uint64_t starts() const { return starts_; }
  /// The part of starts() that belongs to failing jobs.
  std::uint64_t failing_job_starts() const { return failing_job_starts_; }
  /// Number of task starts more than 20 s after the user got the confirmation of the job's
  /// cancellation.
  std::uint64_t starts_after_cancellation() const { return starts_after_cancellation_; }
  std::size_t done_jobs() const { return done_.size(); }
  std::size_t accepted_jobs() const { return accepted_.size(); }
  std::size_t cancelled_jobs() const { return cancelled_at_.size(); }
  /// Number of tasks of this class that are on machines now.
  std::size_t running_tasks(const std::string& job_class) const;

 private:
  using Task = std::pair<std::string, std::uint32_t>;

  void record_violation(Invariant invariant, const std::string& detail);
  void check_placement(const protocol::JobSpec& spec, std::uint32_t index, const HostMachine& host);
  void check_zones(const protocol::JobSpec& spec, std::uint32_t index, const HostMachine& host);
  void check_start_of_cancelled(const std::string& job, const std::string& task_on_machine);
  bool has_task_on_machine(const std::string& job) const;
  void check_queries_got_responses();
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
  std::map<std::string, double> cancelled_at_;  // Time of the confirmation to the user.
  std::map<std::string, double> last_response_at_;
  std::map<std::string, double> last_queried_at_;  // time of the newest query
  // Start of the wait while there is capacity for the job.
  std::map<std::string, double> waiting_since_;
  std::function<void(const std::string&)> on_job_completed_;
  double faults_until_ = 0;
  std::vector<std::string> violations_;
  std::uint64_t starts_ = 0;
  std::uint64_t starts_after_cancellation_ = 0;
  std::uint64_t failing_job_starts_ = 0;
};

}  // namespace poppystile::simulation
