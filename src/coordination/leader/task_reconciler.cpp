#include "coordination/leader/task_reconciler.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "constants.hpp"
#include "coordination/leader/gang_tracker.hpp"
#include "storage/journal_entry.hpp"

namespace poppystile::coordination {

using cluster::Job;
using cluster::Machine;
using cluster::Placement;
using cluster::PlacementPhase;
using protocol::ExitCause;
using protocol::ReportedTask;
using protocol::TaskState;
using storage::IndexRange;
using GangPhase = cluster::GangAttempt::Phase;

namespace {

PlacementPhase phase_of(TaskState state) {
  switch (state) {
    case TaskState::waiting:
      return PlacementPhase::waiting;
    case TaskState::running:
      return PlacementPhase::running;
    case TaskState::saving:
      return PlacementPhase::saving;
    default:
      return PlacementPhase::fetching;
  }
}

}  // namespace

TaskReconciler::TaskReconciler(const transport::Runtime& runtime,
                               cluster::ClusterState& cluster_state, JournalWriter& journal,
                               JobFinalizer& finalizer, const MachineHealth& health,
                               const protocol::Settings& settings,
                               std::function<void()> request_plan)
    : runtime_(runtime),
      cluster_state_(cluster_state),
      journal_(journal),
      finalizer_(finalizer),
      health_(health),
      settings_(settings),
      request_plan_(std::move(request_plan)) {}

void TaskReconciler::reconcile(Machine& machine, const protocol::Heartbeat& heartbeat) {
  for (const auto& reported : heartbeat.tasks) {
    Placement* placement = machine.find(reported.job, reported.index, reported.attempt);
    if (placement == nullptr) continue;
    placement->last_reported_sequence = heartbeat.sequence;
    reconcile_task(machine, *placement, reported);
  }
  expire_unacknowledged_starts(machine, heartbeat);
  erase_removed_placements(machine);
}

void TaskReconciler::reconcile_task(Machine& machine, Placement& placement,
                                    const ReportedTask& reported) {
  if (placement.phase == PlacementPhase::exited) return;
  if (reported.state == TaskState::exited) return on_exited(machine, placement, reported.cause);
  Job* job = cluster_state_.job(placement.job);
  if (job != nullptr && job->is_gang())
    GangTracker::on_reported(*job, reported.state, runtime_.now());
  const PlacementPhase phase = phase_of(reported.state);
  if (phase != placement.phase) return change_phase(machine, placement, job, phase);
  if (job != nullptr && has_outlived_failures(placement, *job)) job->reset_failures();
}

bool TaskReconciler::has_outlived_failures(const Placement& placement, const Job& job) const {
  return placement.phase == PlacementPhase::running && !job.failed_machines.empty() &&
         runtime_.now() - placement.phase_started_at >
             2 * (job.longest_failed_run + settings_.heartbeat_interval);
}

void TaskReconciler::change_phase(Machine& machine, Placement& placement, Job* job,
                                  PlacementPhase phase) {
  if (job != nullptr) {
    if (placement.phase == PlacementPhase::running) --job->running;
    if (phase == PlacementPhase::waiting) record_cached_image(machine, *job);
    if (phase == PlacementPhase::running) {
      ++job->running;
      record_cached_image(machine, *job);
      spdlog::debug("task running job={} index={} machine={} after_s={:.1f}", placement.job,
                    placement.index, machine.id,
                    (runtime_.now() - placement.phase_started_at).count());
    }
  }
  placement.phase = phase;
  placement.phase_started_at = runtime_.now();
}

void TaskReconciler::on_exited(Machine& machine, Placement& placement, ExitCause cause) {
  Job* job = cluster_state_.job(placement.job);
  request_plan_();
  if (cause == ExitCause::done && job != nullptr) return on_completed(machine, placement, *job);
  health_.record_failure(machine, placement, cause);
  const bool gang_ended = cause == ExitCause::peer_lost || cause == ExitCause::gang_incomplete;
  if (gang_ended && job != nullptr && job->is_gang()) GangTracker::abandon(*job);
  remove_placement(machine, placement);
}

void TaskReconciler::on_completed(Machine& machine, Placement& placement, Job& job) {
  cluster_state_.release_resources(machine, placement);
  placement.finished = true;
  MachineHealth::reset_failures(machine);
  job.reset_failures();
  if (job.is_gang()) {
    // The tasks of a gang complete together, so the exits of the other tasks need not be reported.
    job.finish_all();
  } else {
    record_cached_image(machine, job);
    job.finish(placement.index);
  }
  // The worker keeps the exited task until this entry is durable.
  placement.log_position =
      journal_.append(storage::TaskFinished{placement.job, {IndexRange::single(placement.index)}});
  finalizer_.enqueue_if_final(placement.job, job);
}

void TaskReconciler::expire_unacknowledged_starts(Machine& machine,
                                                  const protocol::Heartbeat& heartbeat) {
  // Only a worker that has seen this leader's token is certain to reject starts of former leaders.
  if (!machine.has_acknowledged_token) return;
  for (auto& placed_task : machine.placements) {
    if (placed_task.phase == PlacementPhase::exited ||
        placed_task.last_reported_sequence == heartbeat.sequence)
      continue;
    // A start that was sent in the response to an earlier heartbeat cannot arrive any more.
    const bool start_outcome_is_known =
        std::make_pair(placed_task.start_incarnation, placed_task.start_sequence) <
        std::make_pair(heartbeat.incarnation, heartbeat.sequence);
    if (!start_outcome_is_known) continue;
    const Job* job = cluster_state_.job(placed_task.job);
    const bool is_gang_running =
        job != nullptr && job->is_gang() && job->gang.phase == GangPhase::running;
    if (placed_task.last_reported_sequence != 0 || placed_task.stopping || is_gang_running) {
      remove_placement(machine, placed_task);
    } else if (placed_task.start_incarnation != 0 &&
               ++placed_task.unacknowledged_starts >= constants::max_unacknowledged_starts) {
      health_.mark_unresponsive(machine, "start commands unacknowledged");
      remove_placement(machine, placed_task);
    }
  }
}

void TaskReconciler::record_cached_image(Machine& machine, const Job& job) {
  const bool was_cached = machine.has_cached(job.spec().image);
  machine.mark_image_used(job.spec().image, job.spec().image_gb);
  if (!was_cached) journal_.append(storage::ImageCached{machine.id, machine.images.back()});
}

void TaskReconciler::remove_placement(Machine& machine, Placement& placement) {
  if (placement.phase == PlacementPhase::exited) return;
  cluster_state_.release_resources(machine, placement);
  request_plan_();
  Job* job = cluster_state_.job(placement.job);
  if (job == nullptr) return;
  journal_.append(storage::PlacementEnded{placement.job, {IndexRange::single(placement.index)}});
  if (job->is_task_finished(placement.index)) return;  // The gang has completed.
  job->requeue(placement.index);
  if (job->is_gang()) GangTracker::on_task_lost(*job, machine.id, runtime_.now());
  finalizer_.enqueue_if_final(placement.job, *job);
}

void TaskReconciler::erase_removed_placements(Machine& machine) {
  std::erase_if(machine.placements, [](const Placement& placed_task) {
    return placed_task.phase == PlacementPhase::exited && !placed_task.finished;
  });
}

void TaskReconciler::evict_all(Machine& machine, const std::string& reason) {
  if (!machine.placements.empty())
    spdlog::info("machine evicted id={} tasks={} why=\"{}\"", machine.id, machine.placements.size(),
                 reason);
  for (auto& placed_task : machine.placements) remove_placement(machine, placed_task);
  machine.placements.clear();
}

}  // namespace poppystile::coordination
