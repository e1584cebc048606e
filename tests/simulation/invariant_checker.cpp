#include "simulation/invariant_checker.hpp"

namespace poppystile::simulation {

namespace {
// Durations are in seconds.
constexpr double check_tolerance_s = 0.5;    // the check runs every 0.5 s
constexpr double max_response_delay_s = 75;  // PROTOCOL; counted from the end of the last fault
constexpr double max_waiting_s = 90;         // PROTOCOL; counted from the end of the last fault
// Fetching an image may take this long, so that a task may still start this long after its command.
constexpr double late_start_s = 20;
constexpr double largest_start_s = 240;  // PROTOCOL: time within which the largest jobs start
constexpr double largest_share = 0.1;    // fraction of a class's jobs, those with the most tasks

std::string task_on_machine(const std::string& job, std::uint32_t index,
                            const std::string& machine) {
  return job + "/" + std::to_string(index) + " on " + machine;
}
}  // namespace

const char* name_of(Invariant invariant) {
  switch (invariant) {
    case Invariant::at_most_one_copy:
      return "at_most_one_copy";
    case Invariant::placement_constraints:
      return "placement_constraints";
    case Invariant::team_quota:
      return "team_quota";
    case Invariant::cancellation_deadline:
      return "cancellation_deadline";
    case Invariant::accepted_job_durable:
      return "accepted_job_durable";
    case Invariant::only_submitted_jobs:
      return "only_submitted_jobs";
    case Invariant::done_means_completed:
      return "done_means_completed";
    case Invariant::terminal_state_final:
      return "terminal_state_final";
    case Invariant::work_conserving:
      return "work_conserving";
    case Invariant::fair_service:
      return "fair_service";
    case Invariant::invalid_request_refused:
      return "invalid_request_refused";
  }
  return "unknown";
}

void InvariantChecker::record_violation(Invariant invariant, const std::string& detail) {
  violations_.push_back(std::to_string(queue_.now()) + " " + name_of(invariant) + " " + detail);
}

void InvariantChecker::record_submission(const protocol::JobSpec& job) {
  jobs_[job.id] = job;
  submitted_at_[job.id] = queue_.now();
}

const protocol::JobSpec* InvariantChecker::find_job(const std::string& job) const {
  const auto it = jobs_.find(job);
  return it == jobs_.end() ? nullptr : &it->second;
}

void InvariantChecker::record_task_placed(const std::string& job, std::uint32_t index,
                                          const HostMachine& host) {
  ++starts_;
  if (is_failing(job)) ++failing_job_starts_;
  first_started_at_.emplace(job, queue_.now());
  const auto& spec = jobs_.at(job);
  const std::string name = task_on_machine(job, index, host.machine);
  auto& hosts = hosts_[{job, index}];
  for (const auto& [machine, other] : hosts)
    if (machine != host.machine)
      record_violation(Invariant::at_most_one_copy,
                       std::string(name).append(" and ").append(machine));
  check_placement(spec, index, host);
  if (hosts.empty()) team_usage_[spec.team] += spec.task_resources.cpus;
  hosts[host.machine] = host;
  const auto quota = team_quotas_[spec.team];
  if (quota > 0 && team_usage_[spec.team] > quota)
    record_violation(Invariant::team_quota, spec.team);
  check_start_of_cancelled(job, name);
}

void InvariantChecker::check_start_of_cancelled(const std::string& job,
                                                const std::string& task_on_machine) {
  const auto cancelled = cancelled_at_.find(job);
  if (cancelled == cancelled_at_.end()) return;
  if (queue_.now() > cancelled->second + late_start_s) ++starts_after_cancellation_;
  if (queue_.now() > cancelled->second + cancel_timeout_s_)
    record_violation(Invariant::cancellation_deadline,
                     task_on_machine + " started after its job's cancellation timeout");
}

void InvariantChecker::check_placement(const protocol::JobSpec& spec, std::uint32_t index,
                                       const HostMachine& host) {
  const bool type_allowed = !spec.types || std::find(spec.types->begin(), spec.types->end(),
                                                     host.type) != spec.types->end();
  if (!type_allowed || (host.spot && !spec.spot) || (spec.zone && *spec.zone != host.zone))
    record_violation(Invariant::placement_constraints,
                     task_on_machine(spec.id, index, host.machine));
  if (spec.one_zone || spec.spread) check_zones(spec, index, host);
}

void InvariantChecker::check_zones(const protocol::JobSpec& spec, std::uint32_t index,
                                   const HostMachine& host) {
  const std::string name = task_on_machine(spec.id, index, host.machine);
  std::uint32_t same_zone = 1;
  std::uint32_t other_zones = 0;
  for (auto it = hosts_.lower_bound({spec.id, 0}); it != hosts_.end() && it->first.first == spec.id;
       ++it) {
    const auto& [task, hosts] = *it;
    if (task.second == index) continue;
    for (const auto& [machine, other] : hosts)
      ++(other.zone == host.zone ? same_zone : other_zones);
  }
  if (spec.one_zone && other_zones > 0)
    record_violation(Invariant::placement_constraints,
                     name + " is not in the zone of the job's other tasks");
  if (spec.spread && same_zone > (spec.tasks + 1) / 2)
    record_violation(Invariant::placement_constraints,
                     name + ": more than half of the job's tasks are in one zone");
}

void InvariantChecker::record_task_removed(const std::string& job, std::uint32_t index,
                                           const std::string& machine) {
  const auto it = hosts_.find({job, index});
  if (it == hosts_.end() || it->second.erase(machine) == 0 || !it->second.empty()) return;
  hosts_.erase(it);
  team_usage_[jobs_.at(job).team] -= jobs_.at(job).task_resources.cpus;
}

void InvariantChecker::record_task_completed(const std::string& job, std::uint32_t index) {
  auto& tasks = completed_[job];
  const bool is_last = tasks.insert(index).second && tasks.size() == jobs_.at(job).tasks;
  if (is_last && on_job_completed_) on_job_completed_(job);
}

bool InvariantChecker::is_task_completed(const std::string& job, std::uint32_t index) const {
  const auto it = completed_.find(job);
  return it != completed_.end() && it->second.contains(index);
}

bool InvariantChecker::has_task_on_machine(const std::string& job) const {
  const auto it = hosts_.lower_bound({job, 0});
  return it != hosts_.end() && it->first.first == job;
}

std::set<std::string> InvariantChecker::machines_of(const std::string& job) const {
  std::set<std::string> out;
  for (auto it = hosts_.lower_bound({job, 0}); it != hosts_.end() && it->first.first == job; ++it)
    for (const auto& [machine, host] : it->second) out.insert(machine);
  return out;
}

void InvariantChecker::record_response(const std::string& job, int status, const std::string& state,
                                       RequestKind kind) {
  if (status == 404 && accepted_.contains(job))
    record_violation(Invariant::accepted_job_durable,
                     job + " is accepted, but a request for it got 404");
  const bool refused = status == 400 || status == 422;
  if (refused && kind == RequestKind::submission && accepted_.contains(job))
    record_violation(Invariant::accepted_job_durable,
                     job + " is accepted, but its repeated submission was refused");
  if (status != 200 && status != 201) return;
  if (!jobs_.contains(job)) return record_violation(Invariant::only_submitted_jobs, job);
  accepted_.insert(job);
  last_response_at_[job] = queue_.now();
  if (state == "done" && completed_[job].size() < jobs_.at(job).tasks)
    record_violation(Invariant::done_means_completed, job);
  if (done_.contains(job) && state != "done")
    record_violation(Invariant::terminal_state_final, job + " was done, but is now " + state);
  if (cancelled_at_.contains(job) && state != "aborted")
    record_violation(Invariant::terminal_state_final, job + " was cancelled, but is now " + state);
  if (state == "done") done_.insert(job);
}

void InvariantChecker::record_cancellation_confirmed(const std::string& job) {
  cancelled_at_.emplace(job, queue_.now());
}

void InvariantChecker::record_invalid_submission_accepted(const std::string& defect) {
  record_violation(Invariant::invalid_request_refused, defect);
}

void InvariantChecker::check_cancelled_jobs() {
  for (const auto& [task, hosts] : hosts_) {
    const auto cancelled = cancelled_at_.find(task.first);
    if (cancelled != cancelled_at_.end() &&
        queue_.now() > cancelled->second + cancel_timeout_s_ + check_tolerance_s)
      record_violation(Invariant::cancellation_deadline,
                       task.first + " is cancelled, but still on " + hosts.begin()->first);
  }
}

bool InvariantChecker::is_waiting_within_quota(const std::string& job) const {
  const auto& spec = jobs_.at(job);
  const auto completed = completed_.find(job);
  if (cancelled_at_.contains(job) || has_task_on_machine(job) ||
      (completed != completed_.end() && completed->second.size() == spec.tasks))
    return false;
  const auto quota = team_quotas_.find(spec.team);
  if (quota == team_quotas_.end() || quota->second == 0) return true;
  const auto usage = team_usage_.find(spec.team);
  const std::int64_t needed =
      spec.task_resources.cpus * (spec.kind == protocol::JobKind::gang ? spec.tasks : 1);
  return (usage == team_usage_.end() ? 0 : usage->second) + needed <= quota->second;
}

void InvariantChecker::check_waiting_job(const std::string& job, const std::string& machine) {
  if (machine.empty()) {
    waiting_since_.erase(job);
    return;
  }
  const double since = waiting_since_.emplace(job, queue_.now()).first->second;
  if (queue_.now() - std::max(since, faults_until_) <= max_waiting_s) return;
  record_violation(
      Invariant::work_conserving,
      std::string(job).append(" waits although there is capacity on ").append(machine));
  waiting_since_[job] = queue_.now();
}

void InvariantChecker::check_final_service() {
  check_queries_got_responses();
  std::map<std::string, std::vector<std::string>> groups;
  for (const auto& [job, spec] : jobs_) {
    if (cancelled_at_.contains(job) || queue_.now() - submitted_at_[job] < largest_start_s)
      continue;
    groups["class " + spec.job_class].push_back(job);
    groups["team " + spec.team].push_back(job);
  }
  for (const auto& [name, jobs] : groups) {
    check_group_served(name, jobs);
    if (name.starts_with("class")) check_largest_served(name, jobs);
  }
}

void InvariantChecker::check_queries_got_responses() {
  for (const auto& job : accepted_) {
    // A job without a query since its last response is not checked.
    const double since = std::max(last_response_at_[job], faults_until_);
    if (last_queried_at_[job] > since && queue_.now() - since > max_response_delay_s)
      record_violation(Invariant::accepted_job_durable, job + " got no response to its last query");
  }
}

void InvariantChecker::check_group_served(const std::string& name,
                                          const std::vector<std::string>& jobs) {
  const auto started = std::count_if(
      jobs.begin(), jobs.end(), [&](const auto& job) { return first_started_at_.contains(job); });
  if (2 * static_cast<std::size_t>(started) < jobs.size())
    record_violation(Invariant::fair_service, name);
}

void InvariantChecker::check_largest_served(const std::string& name,
                                            std::vector<std::string> jobs) {
  std::sort(jobs.begin(), jobs.end(),
            [&](const auto& a, const auto& b) { return jobs_[a].tasks > jobs_[b].tasks; });
  jobs.resize(std::max<std::size_t>(
      1, static_cast<std::size_t>(largest_share * static_cast<double>(jobs.size()))));
  const auto in_time = std::count_if(jobs.begin(), jobs.end(), [&](const auto& job) {
    return first_started_at_.contains(job) &&
           first_started_at_[job] - submitted_at_[job] <= largest_start_s;
  });
  if (2 * static_cast<std::size_t>(in_time) < jobs.size())
    record_violation(Invariant::fair_service, "largest jobs of " + name);
}

std::size_t InvariantChecker::running_tasks(const std::string& job_class) const {
  return static_cast<std::size_t>(std::count_if(
      hosts_.begin(), hosts_.end(),
      [&](const auto& each) { return jobs_.at(each.first.first).job_class == job_class; }));
}

}  // namespace poppystile::simulation
