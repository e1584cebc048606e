#include "coordination/leader/machine_health.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "constants.hpp"
#include "coordination/election/lease_time.hpp"

namespace poppystile::coordination {

using cluster::Job;
using cluster::Machine;
using cluster::Placement;
using cluster::PlacementPhase;
using protocol::ExitCause;

namespace {

// The loss of another task of the gang is a fault of neither the machine nor the job.
bool is_blameless_cause(ExitCause cause) {
  return cause == ExitCause::stopped || cause == ExitCause::done || cause == ExitCause::peer_lost ||
         cause == ExitCause::gang_incomplete;
}

}  // namespace

void MachineHealth::mark_unresponsive(Machine& machine, const std::string& reason) const {
  if (std::exchange(machine.is_unresponsive, true)) return;
  spdlog::info("machine unresponsive id={} why=\"{}\"", machine.id, reason);
  machine.unresponsive_since = runtime_.now();
}

void MachineHealth::evaluate_responsiveness(Machine& machine) const {
  const SteadyTime now = runtime_.now();
  const Seconds lease = with_clock_drift(settings_.worker_lease);
  if (machine.is_unresponsive && machine.has_acknowledged_token &&
      now - machine.incarnation_started_at > lease && now - machine.unresponsive_since > lease) {
    spdlog::info("machine responsive again id={}", machine.id);
    machine.is_unresponsive = false;
    machine.incarnations_without_start = 0;
  }
  if (machine.has_acknowledged_token && !machine.is_unresponsive) machine.unresponsive_since = now;
}

// A worker that receives no responses tries one controller after another, so its heartbeats reach
// this leader rarely, and its lease expires between two of them. Unreported starts in several
// successive incarnations distinguish it from a worker whose process paused once.
void MachineHealth::evaluate_incarnation(Machine& machine) const {
  const auto any_placement = [&](auto condition) {
    return std::any_of(machine.placements.begin(), machine.placements.end(), condition);
  };
  if (any_placement([](const Placement& each) { return each.last_reported_sequence != 0; })) {
    machine.incarnations_without_start = 0;
    return;
  }
  if (!any_placement([](const Placement& each) { return each.start_incarnation != 0; })) return;
  if (++machine.incarnations_without_start >= constants::max_unacknowledged_starts)
    mark_unresponsive(machine, "incarnations ended without acknowledging any start command");
}

void MachineHealth::record_failure(Machine& machine, const Placement& placement,
                                   ExitCause cause) const {
  Job* job = cluster_state_.job(placement.job);
  if (job == nullptr || is_blameless_cause(cause)) return;
  // Repeated failures of a job on the same machine give an operator no further information.
  const bool is_new_information =
      cause != ExitCause::error || job->failed_machines.insert(machine.id).second;
  spdlog::log(is_new_information ? spdlog::level::info : spdlog::level::debug,
              "task failed job={} index={} machine={} cause={}", placement.job, placement.index,
              machine.id, protocol::to_string(cause));
  if (placement.phase == PlacementPhase::running)
    job->longest_failed_run =
        std::max(job->longest_failed_run, runtime_.now() - placement.phase_started_at);
  if (is_job_at_fault(*job, cause)) return delay_retry(placement.job, *job);
  record_machine_failure(machine, placement.job);
}

// Finished tasks prove that a job can run, so it is at fault only if none of its tasks has finished
// and it failed on at least two machines, or if the cause is `ExitCause::unknown`.
bool MachineHealth::is_job_at_fault(const Job& job, ExitCause cause) {
  return (job.finished == 0 && job.failed_machines.size() >= 2) || cause == ExitCause::unknown;
}

void MachineHealth::delay_retry(const std::string& id, Job& job) const {
  const SteadyTime now = runtime_.now();
  // Tasks that fail within the same retry pause count as one failure.
  if (now < job.retry_at) return;
  job.retry_pause =
      std::clamp(job.retry_pause * 2, constants::initial_retry_pause, constants::max_retry_pause);
  job.retry_at = now + job.retry_pause;
  spdlog::info("job fails on every machine id={} machines={} next_try_s={}", id,
               job.failed_machines.size(), job.retry_pause.count());
}

void MachineHealth::record_machine_failure(Machine& machine, const std::string& job) const {
  ++machine.failures;
  machine.failed_jobs.insert(job);
  machine.avoid_until =
      runtime_.now() + constants::base_avoid_time * (1 << std::min(machine.failures, 4));
  if (machine.failures < constants::quarantine_failures || machine.failed_jobs.size() < 2) return;
  if (std::exchange(machine.quarantined, true)) return;
  spdlog::info("machine quarantined id={} failures={}", machine.id, machine.failures);
  for (auto& each : machine.placements) stopper_.stop_task(each);
}

void MachineHealth::reset_failures(Machine& machine) {
  machine.failures = 0;
  machine.failed_jobs.clear();
}

}  // namespace poppystile::coordination
