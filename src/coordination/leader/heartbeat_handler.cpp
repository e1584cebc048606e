#include "coordination/leader/heartbeat_handler.hpp"

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
using protocol::Command;
using protocol::ExitCause;
using protocol::ReportedTask;
using protocol::TaskState;
using storage::IndexRange;

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

Machine* HeartbeatHandler::find_or_adopt_machine(const protocol::Heartbeat& heartbeat) {
  const auto it = cluster_state_.machines.find(heartbeat.machine);
  if (it != cluster_state_.machines.end()) return &it->second;
  // A late copy of a report must not bring back a machine that is gone: only one that has heard
  // this leader, and was not released by it, is taken in. The others get our token first.
  if (fleet_.released(heartbeat.machine) || heartbeat.token != election_.token()) return nullptr;
  Machine machine;
  machine.id = heartbeat.machine;
  machine.type = heartbeat.type;
  machine.zone = heartbeat.zone;
  machine.spot = heartbeat.spot;
  machine.rented_at = runtime_.wall_now();
  spdlog::info("machine adopted from its report id={}", machine.id);
  return fleet_.admit(std::move(machine));
}

void HeartbeatHandler::reconcile(Machine& machine, const protocol::Heartbeat& heartbeat) {
  const SteadyTime now = runtime_.now();
  if (machine.size.cpus == 0) fleet_.apply_machine_type(machine);
  if (heartbeat.incarnation > machine.incarnation)
    begin_incarnation(machine, heartbeat.incarnation);
  machine.sequence = heartbeat.sequence;
  if (!machine.has_reported) {
    request_plan_();
    machine.unresponsive_since = now;
  }
  machine.has_reported = true;
  machine.last_heartbeat_at = now;
  machine.is_overdue = machine.lease_expired = false;
  if (!machine.has_acknowledged_token && heartbeat.token == election_.token()) request_plan_();
  machine.has_acknowledged_token = heartbeat.token == election_.token();
  // A session that outlasts a lease is proof that our answers arrive.
  const Seconds lease = with_clock_drift(settings_.worker_lease);
  if (machine.is_unresponsive && machine.has_acknowledged_token &&
      now - machine.incarnation_started_at > lease && now - machine.unresponsive_since > lease) {
    spdlog::info("machine hears us again id={}", machine.id);
    machine.is_unresponsive = false;
    machine.incarnations_without_start = 0;
  }
  if (machine.has_acknowledged_token && !machine.is_unresponsive) machine.unresponsive_since = now;
  if (heartbeat.preemption_notice && !std::exchange(machine.preemption_noticed, true)) {
    spdlog::info("machine recalled id={} in_s={}", machine.id,
                 heartbeat.preemption_notice->count());
    request_plan_();
  }
  // A recalled machine's tasks are stopped in time to be proven gone before it vanishes, services
  // at once: they lose nothing, and start elsewhere the sooner.
  if (heartbeat.preemption_notice)
    for (auto& each : machine.placements) {
      const Job* job = cluster_state_.job(each.job);
      const bool service = job != nullptr && job->spec().kind == protocol::JobKind::service;
      const Seconds needed = 2.5 * settings_.heartbeat_interval +
                             (job != nullptr && job->is_gang() ? stop_grace(job) : Seconds{0});
      if (service || *heartbeat.preemption_notice <= needed) stop_task(each);
    }
  for (const auto& seen : heartbeat.tasks)
    if (Placement* placement = machine.find(seen.job, seen.index, seen.attempt)) {
      placement->last_reported_sequence = heartbeat.sequence;
      reconcile_task(machine, *placement, seen);
    }
  expire_unacknowledged_starts(machine, heartbeat);
  erase_removed_placements(machine);
}

void HeartbeatHandler::begin_incarnation(Machine& machine, std::uint64_t incarnation) {
  const SteadyTime now = runtime_.now();
  if (machine.incarnation != 0) {
    evaluate_incarnation(machine);
    // The session's end killed whatever was there.
    evict_all(machine, "new session");
    if (machine.has_acknowledged_token &&
        now - machine.last_response_at <
            settings_.worker_lease - constants::worker_response_timeout)
      mark_unresponsive(machine, "its lease ended although it was answered");
  }
  machine.incarnation = incarnation;
  machine.incarnation_started_at = now;
  journal_.append(storage::IncarnationStarted{machine.id, incarnation});
}

// A worker that hears nobody tries one node after the other, so its reports come to us seldom, and
// its lease ends between two. Starts that session after session does not show tell it from one that
// hung once.
void HeartbeatHandler::evaluate_incarnation(Machine& machine) {
  const auto any = [&](auto test) {
    return std::any_of(machine.placements.begin(), machine.placements.end(), test);
  };
  if (any([](const Placement& each) { return each.last_reported_sequence != 0; })) {
    machine.incarnations_without_start = 0;
  } else if (any([](const Placement& each) { return each.start_incarnation != 0; }) &&
             ++machine.incarnations_without_start >= constants::max_unacknowledged_starts) {
    mark_unresponsive(machine, "starts are not shown before its lease ends");
  }
}

// Such a machine's reports arrive, but it may not hear us: it gets no work until it shows that it
// does. Answering it proves nothing about its lease.
void HeartbeatHandler::mark_unresponsive(Machine& machine, const std::string& why) {
  if (std::exchange(machine.is_unresponsive, true)) return;
  spdlog::info("machine seems not to hear us id={} why=\"{}\"", machine.id, why);
  machine.unresponsive_since = runtime_.now();
}

void HeartbeatHandler::expire_unacknowledged_starts(Machine& machine,
                                                    const protocol::Heartbeat& heartbeat) {
  // Only a worker that has seen our token is sure to take no start of an earlier leader any more.
  if (!machine.has_acknowledged_token) return;
  for (auto& each : machine.placements) {
    if (each.phase == PlacementPhase::exited || each.last_reported_sequence == heartbeat.sequence)
      continue;
    // The report is newer than the one that our newest start answered: that start cannot arrive.
    const bool newer = std::make_pair(each.start_incarnation, each.start_sequence) <
                       std::make_pair(heartbeat.incarnation, heartbeat.sequence);
    if (!newer) continue;
    const Job* job = cluster_state_.job(each.job);
    const bool gang_runs =
        job != nullptr && job->is_gang() && job->gang.phase == cluster::GangAttempt::Phase::running;
    if (each.last_reported_sequence != 0 || each.stopping || gang_runs) {
      remove_placement(machine, each);
    } else if (each.start_incarnation != 0 &&
               ++each.unacknowledged_starts >= constants::max_unacknowledged_starts) {
      mark_unresponsive(machine, "starts are not shown");
      remove_placement(machine, each);
    }
  }
}

void HeartbeatHandler::reconcile_task(Machine& machine, Placement& placement,
                                      const ReportedTask& seen) {
  if (placement.phase == PlacementPhase::exited) return;
  Job* job = cluster_state_.job(placement.job);
  if (seen.state == TaskState::exited) return on_exited(machine, placement, seen.cause);
  if (job != nullptr && job->is_gang()) GangTracker::on_reported(*job, seen.state, runtime_.now());
  const PlacementPhase phase = phase_of(seen.state);
  if (phase == placement.phase) {
    // It has run for longer than it ever did before it failed.
    if (phase == PlacementPhase::running && job != nullptr && !job->failed_on.empty() &&
        runtime_.now() - placement.phase_started_at >
            2 * (job->longest_failed_run + settings_.heartbeat_interval))
      job->reset_failures();
    return;
  }
  if (job != nullptr) {
    if (placement.phase == PlacementPhase::running) --job->running;
    if (phase == PlacementPhase::waiting) record_cached_image(machine, *job);
    if (phase == PlacementPhase::running) {
      ++job->running;
      record_cached_image(machine, *job);
      spdlog::debug("task runs job={} index={} machine={} after_s={:.1f}", placement.job,
                    placement.index, machine.id,
                    (runtime_.now() - placement.phase_started_at).count());
    }
  }
  placement.phase = phase;
  placement.phase_started_at = runtime_.now();
}

void HeartbeatHandler::record_cached_image(Machine& machine, const Job& job) {
  const bool known = machine.holds(job.spec().image);
  machine.mark_image_used(job.spec().image, job.spec().image_gb);
  if (!known) journal_.append(storage::ImageCached{machine.id, machine.images.back()});
}

void HeartbeatHandler::on_exited(Machine& machine, Placement& placement, ExitCause cause) {
  Job* job = cluster_state_.job(placement.job);
  request_plan_();
  if (cause != ExitCause::done || job == nullptr) {
    on_failed(machine, placement, cause);
    const bool gang_over = cause == ExitCause::peer_lost || cause == ExitCause::gang_incomplete;
    if (gang_over && job != nullptr && job->is_gang()) GangTracker::abandon(*job);
    return remove_placement(machine, placement);
  }
  if (job->is_gang()) return finish_gang(machine, placement, *job);
  cluster_state_.release_resources(machine, placement);
  placement.finished = true;
  machine.failures = 0;
  machine.failed_jobs.clear();
  record_cached_image(machine, *job);
  job->reset_failures();
  job->finish(placement.index);
  // The worker keeps the task until this has landed.
  placement.log_position =
      journal_.append(storage::TaskFinished{placement.job, {IndexRange::single(placement.index)}});
  finalizer_.enqueue_if_final(placement.job, *job);
}

// The tasks of a gang complete together: the other machines need not be heard.
void HeartbeatHandler::finish_gang(Machine& machine, Placement& placement, Job& gang) {
  cluster_state_.release_resources(machine, placement);
  placement.finished = true;
  machine.failures = 0;
  machine.failed_jobs.clear();
  gang.reset_failures();
  gang.finish_all();
  placement.log_position =
      journal_.append(storage::TaskFinished{placement.job, {IndexRange::single(placement.index)}});
  finalizer_.enqueue_if_final(placement.job, gang);
}

// A machine that fails several jobs is faulty; a job that fails on several machines was submitted
// with a mistake, and condemns none of them.
void HeartbeatHandler::on_failed(Machine& machine, const Placement& placement, ExitCause cause) {
  Job* job = cluster_state_.job(placement.job);
  // The loss of another task of its gang is no fault of the machine or the job.
  const bool blameless = cause == ExitCause::stopped || cause == ExitCause::done ||
                         cause == ExitCause::peer_lost || cause == ExitCause::gang_incomplete;
  if (job == nullptr || blameless) return;
  const SteadyTime now = runtime_.now();
  // A job's other failures on the same machine tell an operator nothing more.
  const bool news = cause != ExitCause::error || job->failed_on.insert(machine.id).second;
  spdlog::log(news ? spdlog::level::info : spdlog::level::debug,
              "task failed job={} index={} machine={} cause={}", placement.job, placement.index,
              machine.id, protocol::to_string(cause));
  if (placement.phase == PlacementPhase::running)
    job->longest_failed_run = std::max(job->longest_failed_run, now - placement.phase_started_at);
  // One that has finished tasks is right, and the machine is not.
  const bool job_at_fault =
      (job->finished == 0 && job->failed_on.size() >= 2) || cause == ExitCause::unknown;
  if (job_at_fault) {
    // Tasks that fail together count once.
    if (now < job->retry_at) return;
    job->retry_pause = std::clamp(job->retry_pause * 2, constants::initial_retry_pause,
                                  constants::max_retry_pause);
    job->retry_at = now + job->retry_pause;
    spdlog::info("job fails on every machine id={} machines={} next_try_s={}", placement.job,
                 job->failed_on.size(), job->retry_pause.count());
    return;
  }
  ++machine.failures;
  machine.failed_jobs.insert(placement.job);
  machine.avoid_until = now + constants::initial_avoid_time * (1 << std::min(machine.failures, 4));
  if (machine.failures >= constants::quarantine_failures && machine.failed_jobs.size() >= 2 &&
      !std::exchange(machine.quarantined, true)) {
    spdlog::info("machine quarantined id={} failures={}", machine.id, machine.failures);
    for (auto& each : machine.placements) stop_task(each);
  }
}

Seconds HeartbeatHandler::stop_grace(const Job* job) const {
  if (job == nullptr || job->record.cancelled || job->spec().checkpoint_interval <= Seconds{0})
    return Seconds{0};
  if (!job->is_gang()) return job->spec().checkpoint_save_time;
  const bool saves = job->gang.phase == cluster::GangAttempt::Phase::running ||
                     job->gang.phase == cluster::GangAttempt::Phase::stopping;
  return saves ? gangs_.stop_grace(*job) : Seconds{0};
}

// Stops, and leave to forget what has exited. Starts are added when the answer is sent.
std::vector<Command> HeartbeatHandler::commands_for(Machine& machine,
                                                    const protocol::Heartbeat& heartbeat) {
  std::vector<Command> out;
  for (const auto& seen : heartbeat.tasks) {
    Placement* placement = machine.find(seen.job, seen.index, seen.attempt);
    Command command{Command::Op::stop, seen.job, seen.index, seen.attempt, Seconds{0}};
    const bool over = seen.state == TaskState::exited;
    if (over) {
      // A finished task is kept until its bit is durable.
      if (placement != nullptr && placement->finished &&
          !journal_.is_durable(placement->log_position))
        continue;
      command.op = Command::Op::forget;
    } else if (placement != nullptr) {
      if (!placement->stopping) continue;
      command.grace = stop_grace(cluster_state_.job(placement->job));
      if (command.grace > Seconds{0} && seen.state == TaskState::saving) continue;
    }
    out.push_back(std::move(command));
  }
  // What has finished, is durable and is not shown any more has been forgotten there.
  std::erase_if(machine.placements, [&](const Placement& each) {
    return each.finished && each.last_reported_sequence != heartbeat.sequence &&
           journal_.is_durable(each.log_position);
  });
  return out;
}

// The placement is proven to be off the machine. The journal says so before it names another
// place, so its task is free at once. `erase_removed_placements` removes it from the machine's
// list.
void HeartbeatHandler::remove_placement(Machine& machine, Placement& placement) {
  if (placement.phase == PlacementPhase::exited) return;
  cluster_state_.release_resources(machine, placement);
  request_plan_();
  Job* job = cluster_state_.job(placement.job);
  if (job == nullptr) return;
  journal_.append(storage::PlacementEnded{placement.job, {IndexRange::single(placement.index)}});
  if (job->is_task_finished(placement.index)) return;  // of a gang that is done
  job->requeue(placement.index);
  if (job->is_gang()) GangTracker::on_task_lost(*job, machine.id, runtime_.now());
  finalizer_.enqueue_if_final(placement.job, *job);
}

void HeartbeatHandler::erase_removed_placements(Machine& machine) {
  std::erase_if(machine.placements, [](const Placement& each) {
    return each.phase == PlacementPhase::exited && !each.finished;
  });
}

void HeartbeatHandler::evict_all(Machine& machine, const std::string& why) {
  if (!machine.placements.empty())
    spdlog::info("machine emptied id={} tasks={} why=\"{}\"", machine.id, machine.placements.size(),
                 why);
  for (auto& each : machine.placements) remove_placement(machine, each);
  machine.placements.clear();
}

void HeartbeatHandler::stop_job(const std::string& id) {
  Job* job = cluster_state_.job(id);
  if (job == nullptr) return;
  for (const auto& [index, machine] : job->placements)
    for (auto& each : machine->placements)
      if (each.index == index && each.job == id) each.stopping = true;
}

void HeartbeatHandler::stop_task(Placement& placement) {
  Job* job = cluster_state_.job(placement.job);
  if (job != nullptr && job->is_gang()) return GangTracker::stop(*job);
  placement.stopping = true;
}

}  // namespace poppystile::coordination
