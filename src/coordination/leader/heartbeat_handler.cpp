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

Machine* ReportHandler::known_machine(const protocol::Report& report) {
  const auto it = model_.machines.find(report.machine);
  if (it != model_.machines.end()) return &it->second;
  // A late copy of a report must not bring back a machine that is gone: only one that has heard
  // this leader, and was not released by it, is taken in. The others get our token first.
  if (cloud_.released(report.machine) || report.token != leadership_.token()) return nullptr;
  Machine machine;
  machine.id = report.machine;
  machine.type = report.type;
  machine.zone = report.zone;
  machine.spot = report.spot;
  machine.rented_wall_s = runtime_.wall_s();
  spdlog::info("machine adopted from its report id={}", machine.id);
  return cloud_.admit(std::move(machine));
}

void ReportHandler::reconcile(Machine& machine, const protocol::Report& report) {
  const double now = runtime_.now_s();
  if (machine.size.cpus == 0) cloud_.fill_in(machine);
  if (report.session > machine.session) new_session(machine, report.session);
  machine.sequence = report.sequence;
  if (!machine.heard) {
    request_plan_();
    machine.suspect_s = now;
  }
  machine.heard = true;
  machine.heard_s = now;
  machine.late = machine.lost = false;
  if (!machine.confirmed && report.token == leadership_.token()) request_plan_();
  machine.confirmed = report.token == leadership_.token();
  // A session that outlasts a lease is proof that our answers arrive.
  const double lease = waited_out_s(settings_.lease_s);
  if (machine.suspect && machine.confirmed && now - machine.session_s > lease &&
      now - machine.suspect_s > lease) {
    spdlog::info("machine hears us again id={}", machine.id);
    machine.suspect = false;
    machine.unheard_sessions = 0;
  }
  if (machine.confirmed && !machine.suspect) machine.suspect_s = now;
  if (report.notice_s && !std::exchange(machine.recalled, true)) {
    spdlog::info("machine recalled id={} in_s={}", machine.id, *report.notice_s);
    request_plan_();
  }
  // A recalled machine's tasks are stopped in time to be proven gone before it vanishes, services
  // at once: they lose nothing, and start elsewhere the sooner.
  if (report.notice_s)
    for (auto& each : machine.placements) {
      const Job* job = model_.job(each.job);
      const bool service = job != nullptr && job->spec().kind == protocol::JobKind::service;
      const double needed =
          2.5 * settings_.report_s + (job != nullptr && job->is_gang() ? stop_grace_s(job) : 0);
      if (service || *report.notice_s <= needed) stop_task(each);
    }
  for (const auto& seen : report.tasks)
    if (Placement* placement = machine.find(seen.job, seen.index, seen.attempt)) {
      placement->shown = report.sequence;
      observe(machine, *placement, seen);
    }
  judge_unshown(machine, report);
  drop_ended(machine);
}

void ReportHandler::new_session(Machine& machine, std::uint64_t session) {
  const double now = runtime_.now_s();
  if (machine.session != 0) {
    judge_session(machine);
    // The session's end killed whatever was there.
    end_all(machine, "new session");
    if (machine.confirmed &&
        now - machine.last_answer_s < settings_.lease_s - constants::worker_patience_s)
      suspect(machine, "its lease ended although it was answered");
  }
  machine.session = session;
  machine.session_s = now;
  journal_.append(storage::session_entry(machine.id, session));
}

// A worker that hears nobody tries one node after the other, so its reports come to us seldom, and
// its lease ends between two. Starts that session after session does not show tell it from one that
// hung once.
void ReportHandler::judge_session(Machine& machine) {
  const auto any = [&](auto test) {
    return std::any_of(machine.placements.begin(), machine.placements.end(), test);
  };
  if (any([](const Placement& each) { return each.shown != 0; })) {
    machine.unheard_sessions = 0;
  } else if (any([](const Placement& each) { return each.sent_session != 0; }) &&
             ++machine.unheard_sessions >= constants::unheard_starts) {
    suspect(machine, "starts are not shown before its lease ends");
  }
}

// Such a machine's reports arrive, but it may not hear us: it gets no work until it shows that it
// does. Answering it proves nothing about its lease.
void ReportHandler::suspect(Machine& machine, const std::string& why) {
  if (std::exchange(machine.suspect, true)) return;
  spdlog::info("machine seems not to hear us id={} why=\"{}\"", machine.id, why);
  machine.suspect_s = runtime_.now_s();
}

void ReportHandler::judge_unshown(Machine& machine, const protocol::Report& report) {
  // Only a worker that has seen our token is sure to take no start of an earlier leader any more.
  if (!machine.confirmed) return;
  for (auto& each : machine.placements) {
    if (each.phase == PlacementPhase::exited || each.shown == report.sequence) continue;
    // The report is newer than the one that our newest start answered: that start cannot arrive.
    const bool newer = std::make_pair(each.sent_session, each.sent_sequence) <
                       std::make_pair(report.session, report.sequence);
    if (!newer) continue;
    const Job* job = model_.job(each.job);
    const bool gang_runs =
        job != nullptr && job->is_gang() && job->gang.phase == cluster::GangAttempt::Phase::running;
    if (each.shown != 0 || each.stopping || gang_runs) {
      end(machine, each);
    } else if (each.sent_session != 0 && ++each.unheard >= constants::unheard_starts) {
      suspect(machine, "starts are not shown");
      end(machine, each);
    }
  }
}

void ReportHandler::observe(Machine& machine, Placement& placement, const ReportedTask& seen) {
  if (placement.phase == PlacementPhase::exited) return;
  Job* job = model_.job(placement.job);
  if (seen.state == TaskState::exited) return exited(machine, placement, seen.cause);
  if (job != nullptr && job->is_gang())
    GangTracker::on_reported(*job, seen.state, runtime_.now_s());
  const PlacementPhase phase = phase_of(seen.state);
  if (phase == placement.phase) {
    // It has run for longer than it ever did before it failed.
    if (phase == PlacementPhase::running && job != nullptr && !job->failed_on.empty() &&
        runtime_.now_s() - placement.since_s > 2 * (job->failed_after_s + settings_.report_s))
      job->trust();
    return;
  }
  if (job != nullptr) {
    if (placement.phase == PlacementPhase::running) --job->running;
    if (phase == PlacementPhase::waiting) note_image(machine, *job);
    if (phase == PlacementPhase::running) {
      ++job->running;
      note_image(machine, *job);
      spdlog::debug("task runs job={} index={} machine={} after_s={:.1f}", placement.job,
                    placement.index, machine.id, runtime_.now_s() - placement.since_s);
    }
  }
  placement.phase = phase;
  placement.since_s = runtime_.now_s();
}

void ReportHandler::note_image(Machine& machine, const Job& job) {
  const bool known = machine.holds(job.spec().image);
  machine.touch_image(job.spec().image, job.spec().image_gb);
  if (!known) journal_.append(storage::image_entry(machine.id, machine.images.back()));
}

void ReportHandler::exited(Machine& machine, Placement& placement, ExitCause cause) {
  Job* job = model_.job(placement.job);
  request_plan_();
  if (cause != ExitCause::done || job == nullptr) {
    failed(machine, placement, cause);
    const bool gang_over = cause == ExitCause::peer_lost || cause == ExitCause::gang_incomplete;
    if (gang_over && job != nullptr && job->is_gang()) GangTracker::abandon(*job);
    return end(machine, placement);
  }
  if (job->is_gang()) return gang_done(machine, placement, *job);
  model_.vacate(machine, placement);
  placement.finished = true;
  machine.failures = 0;
  machine.failed_jobs.clear();
  note_image(machine, *job);
  job->trust();
  job->finish(placement.index);
  // The worker keeps the task until this has landed.
  placement.log_position = journal_.append(storage::finished_entry(placement.job, placement.index));
  finalizer_.consider(placement.job, *job);
}

// The tasks of a gang complete together: the other machines need not be heard.
void ReportHandler::gang_done(Machine& machine, Placement& placement, Job& gang) {
  model_.vacate(machine, placement);
  placement.finished = true;
  machine.failures = 0;
  machine.failed_jobs.clear();
  gang.trust();
  gang.finish_all();
  placement.log_position = journal_.append(storage::finished_entry(placement.job, placement.index));
  finalizer_.consider(placement.job, gang);
}

// A machine that fails several jobs is faulty; a job that fails on several machines was submitted
// with a mistake, and condemns none of them.
void ReportHandler::failed(Machine& machine, const Placement& placement, ExitCause cause) {
  Job* job = model_.job(placement.job);
  // The loss of another task of its gang is no fault of the machine or the job.
  const bool blameless = cause == ExitCause::stopped || cause == ExitCause::done ||
                         cause == ExitCause::peer_lost || cause == ExitCause::gang_incomplete;
  if (job == nullptr || blameless) return;
  const double now = runtime_.now_s();
  // A job's other failures on the same machine tell an operator nothing more.
  const bool news = cause != ExitCause::error || job->failed_on.insert(machine.id).second;
  spdlog::log(news ? spdlog::level::info : spdlog::level::debug,
              "task failed job={} index={} machine={} cause={}", placement.job, placement.index,
              machine.id, protocol::cause_word(cause));
  if (placement.phase == PlacementPhase::running)
    job->failed_after_s = std::max(job->failed_after_s, now - placement.since_s);
  // One that has finished tasks is right, and the machine is not.
  const bool job_at_fault =
      (job->finished == 0 && job->failed_on.size() >= 2) || cause == ExitCause::unknown;
  if (job_at_fault) {
    // Tasks that fail together count once.
    if (now < job->retry_at_s) return;
    job->retry_pause_s =
        std::clamp(job->retry_pause_s * 2, constants::retry_first_s, constants::retry_most_s);
    job->retry_at_s = now + job->retry_pause_s;
    spdlog::info("job fails on every machine id={} machines={} next_try_s={}", placement.job,
                 job->failed_on.size(), job->retry_pause_s);
    return;
  }
  ++machine.failures;
  machine.failed_jobs.insert(placement.job);
  machine.avoid_until_s = now + constants::avoid_first_s * (1 << std::min(machine.failures, 4));
  if (machine.failures >= constants::quarantine_failures && machine.failed_jobs.size() >= 2 &&
      !std::exchange(machine.quarantined, true)) {
    spdlog::info("machine quarantined id={} failures={}", machine.id, machine.failures);
    for (auto& each : machine.placements) stop_task(each);
  }
}

double ReportHandler::stop_grace_s(const Job* job) const {
  if (job == nullptr || job->record.cancelled || job->spec().checkpoint_s <= 0) return 0;
  if (!job->is_gang()) return job->spec().save_s;
  const bool saves = job->gang.phase == cluster::GangAttempt::Phase::running ||
                     job->gang.phase == cluster::GangAttempt::Phase::stopping;
  return saves ? gangs_.stop_grace_s(*job) : 0;
}

// Stops, and leave to forget what has exited. Starts are added when the answer is sent.
std::vector<Command> ReportHandler::commands_for(Machine& machine, const protocol::Report& report) {
  std::vector<Command> out;
  for (const auto& seen : report.tasks) {
    Placement* placement = machine.find(seen.job, seen.index, seen.attempt);
    Command command{Command::Op::stop, seen.job, seen.index, seen.attempt, 0};
    const bool over = seen.state == TaskState::exited;
    if (over) {
      // A finished task is kept until its bit is durable.
      if (placement != nullptr && placement->finished && !journal_.durable(placement->log_position))
        continue;
      command.op = Command::Op::forget;
    } else if (placement != nullptr) {
      if (!placement->stopping) continue;
      command.grace_s = stop_grace_s(model_.job(placement->job));
      if (command.grace_s > 0 && seen.state == TaskState::saving) continue;
    }
    out.push_back(std::move(command));
  }
  // What has finished, is durable and is not shown any more has been forgotten there.
  std::erase_if(machine.placements, [&](const Placement& each) {
    return each.finished && each.shown != report.sequence && journal_.durable(each.log_position);
  });
  return out;
}

// The placement is proven to be off the machine. The journal says so before it names another
// place, so its task is free at once. `drop_ended` removes it from the machine's list.
void ReportHandler::end(Machine& machine, Placement& placement) {
  if (placement.phase == PlacementPhase::exited) return;
  model_.vacate(machine, placement);
  request_plan_();
  Job* job = model_.job(placement.job);
  if (job == nullptr) return;
  journal_.append(storage::ended_entry(placement.job, placement.index));
  if (job->is_task_finished(placement.index)) return;  // of a gang that is done
  job->requeue(placement.index);
  if (job->is_gang()) GangTracker::on_task_lost(*job, machine.id, runtime_.now_s());
  finalizer_.consider(placement.job, *job);
}

void ReportHandler::drop_ended(Machine& machine) {
  std::erase_if(machine.placements, [](const Placement& each) {
    return each.phase == PlacementPhase::exited && !each.finished;
  });
}

void ReportHandler::end_all(Machine& machine, const std::string& why) {
  if (!machine.placements.empty())
    spdlog::info("machine emptied id={} tasks={} why=\"{}\"", machine.id, machine.placements.size(),
                 why);
  for (auto& each : machine.placements) end(machine, each);
  machine.placements.clear();
}

void ReportHandler::stop_all(const std::string& id) {
  Job* job = model_.job(id);
  if (job == nullptr) return;
  for (const auto& [index, machine] : job->placements)
    for (auto& each : machine->placements)
      if (each.index == index && each.job == id) each.stopping = true;
}

void ReportHandler::stop_task(Placement& placement) {
  Job* job = model_.job(placement.job);
  if (job != nullptr && job->is_gang()) return GangTracker::stop(*job);
  placement.stopping = true;
}

}  // namespace poppystile::coordination
