#include "planning/autoscaler/capacity_demand.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <string>
#include <utility>

#include "constants.hpp"
#include "planning/eligibility.hpp"

namespace poppystile::planning {

using cluster::ClusterState;
using cluster::Job;
using protocol::JobKind;
using protocol::JobSpec;

namespace {

constexpr std::int64_t unlimited_cpus = std::int64_t{1} << 60;  // Thousandths of CPUs
// Maximum number of rounds, one after another, in which the tasks of an array run.
constexpr double max_rounds = 4.0;
// Number of rounds for a new array without a deadline.
constexpr double default_rounds = 3;

// The CPUs that each team may still use under its limit, reduced as demand is added.
class TeamQuotas {
 public:
  TeamQuotas(const ClusterState& cluster_state, const ScalingContext& context) {
    for (const auto& team : *context.teams) {
      const auto usage = cluster_state.teams.find(team.name);
      const auto used = usage == cluster_state.teams.end() ? 0 : usage->second.used.cpus;
      remaining_[team.name] =
          team.cpus_max > 0 ? std::llround(team.cpus_max * 1000) - used : unlimited_cpus;
    }
  }

  // Takes the CPUs of up to `wanted` tasks from the quota of the job's team. Returns the number of
  // tasks that the quota permits.
  std::uint32_t take(const JobSpec& spec, std::uint32_t wanted) {
    if (spec.task_resources.cpus <= 0) return wanted;
    auto& remaining = remaining_[spec.team];
    const auto permitted =
        std::clamp<std::int64_t>(remaining / spec.task_resources.cpus, 0, wanted);
    remaining -= spec.task_resources.cpus * permitted;
    return static_cast<std::uint32_t>(permitted);
  }

 private:
  std::map<std::string, std::int64_t> remaining_;  // Thousandths of CPUs by team
};

std::vector<const Job*> jobs_in_packing_order(const ClusterState& cluster_state) {
  std::vector<const Job*> jobs;
  for (const auto& [id, job] : cluster_state.jobs)
    if (!job.record.cancelled) jobs.push_back(&job);
  std::sort(jobs.begin(), jobs.end(), [](const Job* a, const Job* b) {
    if (a->spec().kind != b->spec().kind) return a->spec().kind == JobKind::service;
    if (a->spec().priority != b->spec().priority) return a->spec().priority > b->spec().priority;
    return a->spec().id < b->spec().id;
  });
  return jobs;
}

// The job's constraints on the machines of its waiting tasks: where all tasks must be in one zone,
// that of the tasks which are placed already.
JobSpec constraints_of_waiting_tasks(const Job& job) {
  JobSpec spec = job.spec();
  if (spec.one_zone && !job.placements.empty()) spec.zone = job.placements.begin()->second->zone;
  return spec;
}

class DemandBuilder {
 public:
  DemandBuilder(const ClusterState& cluster_state, const ScalingContext& context)
      : cluster_state_(cluster_state), context_(context), quotas_(cluster_state, context) {
    for (const auto& [id, machine] : cluster_state.machines) demand_.cpus += machine.used.cpus;
  }

  CapacityDemand build() {
    const std::vector<const Job*> jobs = jobs_in_packing_order(cluster_state_);
    for (const Job* job : jobs) add_waiting_tasks(*job);
    add_service_reserves(jobs);
    add_gang_reserves();
    return std::move(demand_);
  }

 private:
  void add_waiting_tasks(const Job& job) {
    const std::uint32_t wanted = tasks_wanted_at_once(job, context_.wall_now);
    if (wanted > 0)
      add(constraints_of_waiting_tasks(job), wanted, DemandPurpose::waiting_tasks, true);
  }

  void add(const JobSpec& spec, std::uint32_t wanted, DemandPurpose purpose,
           bool prefer_quick_start) {
    const std::uint32_t permitted = quotas_.take(spec, wanted);
    if (permitted == 0) return;
    demand_.cpus += spec.task_resources.cpus * permitted;
    demand_.tasks.push_back({spec, wanted, permitted, purpose, prefer_quick_start});
  }

  // Adds capacity for future replicas: for each class of services, the share `service_reserve` of
  // its replicas, each with the size and constraints of the class's last job in packing order,
  // except its zone. While replicas wait,
  // the next ones use the reserve as soon as it is available, so its start delay counts besides its
  // price.
  void add_service_reserves(const std::vector<const Job*>& jobs) {
    struct ServiceClass {
      const JobSpec* reserve_spec = nullptr;
      double tasks = 0;
    };
    std::map<std::string, ServiceClass> classes;
    bool replicas_wait = false;
    for (const Job* job : jobs) {
      if (job->spec().kind != JobKind::service) continue;
      replicas_wait = replicas_wait || job->schedulable_tasks() > 0;
      ServiceClass& service_class = classes[job->spec().job_class];
      service_class.reserve_spec = &job->spec();
      service_class.tasks += job->spec().tasks;
    }
    for (const auto& [name, service_class] : classes) {
      JobSpec reserve_spec = *service_class.reserve_spec;
      reserve_spec.zone.reset();
      const auto tasks =
          static_cast<std::uint32_t>(std::ceil(service_class.tasks * context_.service_reserve));
      add(reserve_spec, tasks, DemandPurpose::reserve, replicas_wait);
    }
  }

  // Adds capacity for the next gang of each class that had one within `gang_capacity_retention`, as
  // large as the largest recent gang of the class.
  void add_gang_reserves() {
    for (const auto& [name, recent] : cluster_state_.recent_gangs)
      if (context_.wall_now - recent.last_submitted_at < constants::gang_capacity_retention)
        add(recent.largest, recent.largest.tasks, DemandPurpose::reserve, true);
  }

  const ClusterState& cluster_state_;
  const ScalingContext& context_;
  TeamQuotas quotas_;
  CapacityDemand demand_;
};

}  // namespace

std::uint32_t tasks_wanted_at_once(const Job& job, WallTime now) {
  const JobSpec& spec = job.spec();
  if (spec.kind != JobKind::array) return job.schedulable_tasks();
  const Seconds expected = expected_run_time(spec);
  const Seconds age = now - job.record.accepted_at;
  const Seconds time_left = spec.deadline ? *spec.deadline - age : default_rounds * expected;
  const double rounds = std::clamp(time_left / expected, 1.0, max_rounds);
  return static_cast<std::uint32_t>(std::ceil(job.schedulable_tasks() / rounds));
}

CapacityDemand measure_demand(const ClusterState& cluster_state, const ScalingContext& context) {
  return DemandBuilder(cluster_state, context).build();
}

}  // namespace poppystile::planning
