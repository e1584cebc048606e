#include "coordination/dispatcher.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "constants.hpp"
#include "planning/planner.hpp"

namespace poppystile::coordination {

using bookkeeping::Job;
using bookkeeping::Json;
using bookkeeping::Ledger;
using bookkeeping::LedgerMachine;
using bookkeeping::Machine;
using bookkeeping::Placement;
using bookkeeping::PlacementPhase;
using bookkeeping::TaskPhase;
using protocol::Command;
using protocol::ExitCause;
using protocol::JobState;
using protocol::ReportedTask;
using protocol::TaskState;
using transport::HttpResponse;
using transport::Respond;

namespace {

// How long to wait by our clock until that much time has surely passed by another's.
double waited_out_s(double span_s) {
  return span_s * (1 + constants::clock_drift) + constants::lease_margin_s;
}

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

Dispatcher::Dispatcher(transport::Runtime& runtime, Directory& directory, StateStore& store,
                       Leadership& leadership, JournalDesk& journal, CloudDesk& cloud,
                       const protocol::Settings& settings, const protocol::Properties& properties)
    : runtime_(runtime),
      directory_(directory),
      store_(store),
      leadership_(leadership),
      journal_(journal),
      cloud_(cloud),
      settings_(settings),
      properties_(properties),
      gangs_(settings) {
  leadership_.on_won([this] { won(); });
  leadership_.on_lost([this] { lost(); });
  directory_.on_job([this](const std::string& id) { job_changed(id); });
  journal_.on_landed([this] { answer_pending(); });
  journal_.on_snapshot([this] { return snapshot(); });
  cloud_.on_gone([this](Machine& machine, const std::string& why) {
    end_all(machine, why);
    pending_responses_.erase(machine.id);
    journal_.append(bookkeeping::gone_entry(machine.id));
    model_.machines.erase(std::string(machine.id));
  });
}

void Dispatcher::start() { tick(); }

// --- taking over ---

void Dispatcher::won() {
  ++term_;
  store_.set_share(constants::leader_rate_share);
  load(term_);
}

void Dispatcher::lost() {
  ++term_;
  ready_ = quiet_ = closing_ = false;
  store_.set_share(constants::follower_rate_share);
  cloud_.end();
  journal_.end();
  closable_.clear();
  for (auto& [id, held] : std::exchange(pending_responses_, {}))
    held.respond({421, protocol::encode_redirect("")});
  model_ = {};
}

// Reads what former leaders wrote. They can write no more: their transactions name an older
// version of the leader's key.
void Dispatcher::load(std::uint64_t term) {
  // The jobs come by the watch; it must have passed our own election.
  if (directory_.revision() < leadership_.fence().version) {
    runtime_.after(constants::tick_s, [this, term] {
      if (term == term_) load(term);
    });
    return;
  }
  journal_.load([this, term](std::optional<Ledger> ledger) {
    if (term != term_) return;
    if (ledger) return build(*ledger);
    // Anything may run anywhere. A former leader falls silent in time for its workers' leases to
    // end within `cancel_s` of its last renewal (Node::answer_until_s); nobody answers them now,
    // so after that time nothing runs.
    spdlog::error("waiting until every lease has ended seconds={}", settings_.cancel_s);
    quiet_ = true;
    runtime_.after(waited_out_s(settings_.cancel_s), [this, term] {
      if (term != term_) return;
      journal_.wipe([this, term] {
        if (term != term_) return;
        quiet_ = false;
        build({});
      });
    });
  });
}

void Dispatcher::build(const Ledger& ledger) {
  model_ = {};
  ready_s_ = runtime_.now_s();
  cloud_.begin(model_, ledger.rentals);
  for (const auto& [id, known] : directory_.jobs()) {
    Job& job = add_job(id, known);
    const auto found = ledger.jobs.find(id);
    if (found == ledger.jobs.end()) continue;
    const auto& finished = found->second.finished;
    for (std::uint32_t i = 0; i < std::min(finished.size(), job.phases.size()); ++i)
      if (finished[i]) job.finish(i);
    if (job.is_gang() && job.finished > 0) job.finish_all();
  }
  for (const auto& [id, known] : ledger.machines) restore_machine(id, known, ledger);
  for (auto& [id, job] : model_.jobs)
    if (job.is_gang()) GangTracker::on_restored(job, ready_s_);
  ready_ = true;
  plan_due_ = true;
  for (auto& [id, job] : model_.jobs) {
    if (job.record.cancelled) stop_all(id);
    note_closable(id, job);
  }
  spdlog::info("picture rebuilt token={} jobs={} machines={}", leadership_.token(),
               model_.jobs.size(), model_.machines.size());
}

void Dispatcher::restore_machine(const std::string& id, const LedgerMachine& known,
                                 const Ledger& ledger) {
  Machine fresh;
  fresh.id = id;
  fresh.type = known.type;
  fresh.zone = known.zone;
  fresh.spot = known.spot;
  fresh.session = known.session;
  fresh.rented_wall_s = known.rented_wall_s;
  fresh.images = known.images;
  fresh.last_answer_s = fresh.heard_s = ready_s_;
  cloud_.fill_in(fresh);
  Machine& machine = model_.machines.emplace(id, std::move(fresh)).first->second;
  for (const auto& [job_id, index] : known.tasks) {
    Job* job = model_.job(job_id);
    if (job == nullptr || index >= job->phases.size()) continue;  // over: nothing left to do
    if (job->is_task_finished(index)) continue;  // of a gang that is done: it has exited
    const auto& task = ledger.jobs.at(job_id).placed.at(index);
    model_.restore(machine, *job, index, task.attempt, ready_s_);
  }
}

// Everything appended to the journal so far, in as few entries as describe it.
std::vector<Json> Dispatcher::snapshot() const {
  std::vector<Json> out;
  const auto add = [&](Json entry) {
    if (out.empty() || !bookkeeping::merge_entries(out.back(), entry, journal_.max_entry_runs()))
      out.push_back(std::move(entry));
  };
  for (const auto& [id, machine] : model_.machines) {
    add(bookkeeping::known_entry(id, machine.type, machine.zone, machine.spot, machine.session,
                                 machine.rented_wall_s));
    for (const auto& image : machine.images) add(bookkeeping::image_entry(id, image));
    for (const auto& each : machine.placements)
      if (each.phase != PlacementPhase::exited)
        add(bookkeeping::placed_entry(each.job, each.attempt, id, each.index));
  }
  const std::size_t chunk = journal_.max_bitmap_tasks();
  for (const auto& [id, job] : model_.jobs) {
    if (job.finished == 0) continue;
    for (std::size_t first = 0; first < job.phases.size(); first += chunk) {
      std::vector<bool> bits(std::min<std::size_t>(job.phases.size() - first, chunk));
      for (std::size_t i = 0; i < bits.size(); ++i)
        bits[i] = job.phases[first + i] == TaskPhase::finished;
      add(bookkeeping::finished_bits_entry(id, static_cast<std::uint32_t>(first), bits));
    }
  }
  for (const auto& [name, hire] : cloud_.rentals()) add(bookkeeping::hire_entry(name, hire.record));
  return out;
}

// --- jobs ---

void Dispatcher::job_changed(const std::string& id) {
  if (!ready_) return;
  const KnownJob* known = directory_.job(id);
  if (known == nullptr) {
    closable_.erase(id);
    model_.jobs.erase(id);
    return;
  }
  Job* job = model_.job(id);
  if (job == nullptr) {
    job = &add_job(id, *known);
  } else {
    job->record = known->record;
    job->version = known->version;
  }
  if (known->record.cancelled) stop_all(id);
  note_closable(id, *job);
  plan_due_ = true;
}

Job& Dispatcher::add_job(const std::string& id, const KnownJob& known) {
  Job job;
  job.record = known.record;
  job.version = known.version;
  job.phases.assign(known.record.spec.tasks, TaskPhase::waiting);
  if (job.is_gang()) model_.note_gang(job.record);
  return model_.jobs.insert_or_assign(id, std::move(job)).first->second;
}

void Dispatcher::stop_all(const std::string& id) {
  Job* job = model_.job(id);
  if (job == nullptr) return;
  for (const auto& [index, machine] : job->placements)
    for (auto& each : machine->placements)
      if (each.index == index && each.job == id) each.stopping = true;
}

void Dispatcher::stop_task(Placement& placement) {
  Job* job = model_.job(placement.job);
  if (job != nullptr && job->is_gang()) return GangTracker::stop(*job);
  placement.stopping = true;
}

void Dispatcher::note_closable(const std::string& id, const Job& job) {
  if (job.record.cancelled ? job.placements.empty() : job.all_finished()) closable_.insert(id);
}

TaskCounts Dispatcher::counts(const std::string& job) const {
  const auto it = model_.jobs.find(job);
  if (it == model_.jobs.end()) return {};
  return {it->second.finished, it->second.running};
}

std::vector<std::string> Dispatcher::job_ids(std::size_t most) const {
  std::vector<std::string> out;
  for (const auto& [id, job] : model_.jobs) {
    if (out.size() == most) break;
    out.push_back(id);
  }
  return out;
}

std::size_t Dispatcher::live_machines() const {
  return static_cast<std::size_t>(
      std::count_if(model_.machines.begin(), model_.machines.end(),
                    [](const auto& each) { return each.second.heard && !each.second.lost; }));
}

std::uint64_t Dispatcher::next_attempt() {
  // The token makes attempts of different leaders distinct and growing, without a record. A task
  // is placed once a plan at most, so a plan's tasks can share a number.
  return (leadership_.token() << constants::attempt_bits) | ++plans_;
}

// --- reports ---

void Dispatcher::report(const protocol::Report& report, Respond respond) {
  const auto nothing = [&] { respond({200, protocol::encode_commands(leadership_.token(), {})}); };
  if (report.token > leadership_.token()) {
    leadership_.step_down("a worker has seen a higher token");
    return respond({421, protocol::encode_redirect("")});
  }
  if (quiet_) return respond({503, protocol::encode_error("waiting for every lease to end")});
  if (!ready_) return nothing();
  Machine* machine = known_machine(report);
  if (machine == nullptr) return nothing();
  // Copies and late reports: whatever is not newer than what was taken in says nothing.
  const auto order = std::make_pair(report.session, report.sequence);
  if (order <= std::make_pair(machine->session, machine->sequence)) return nothing();
  reconcile(*machine, report);
  PendingResponse answer{std::move(respond),
                         commands_for(*machine, report),
                         report.session,
                         report.sequence,
                         plans_,
                         runtime_.now_s() + constants::hold_answer_s};
  // The former report's answer is not waited for any more.
  pending_responses_.erase(machine->id);
  const bool room_in_demand = plan_due_ && planning::takes_tasks(*machine, runtime_.now_s()) &&
                              machine->room().cpus >= least_waiting_cpus_;
  if (machine->confirmed && (room_in_demand || start_under_way(*machine))) {
    pending_responses_[machine->id] = std::move(answer);
    return;
  }
  send_answer(*machine, std::move(answer));
}

bool Dispatcher::start_under_way(const Machine& machine) const {
  return std::any_of(machine.placements.begin(), machine.placements.end(), [&](const auto& each) {
    return may_start(each) && !journal_.durable(each.log_position);
  });
}

// Starts go with the answer to a report, which is never carried out late: a worker drops it after
// a few seconds, and its next report tells whether it came.
void Dispatcher::send_answer(Machine& machine, PendingResponse answer) {
  if (machine.confirmed)
    for (auto& each : machine.placements) {
      // The journal must name the place before anything starts there.
      if (!may_start(each) || !journal_.durable(each.log_position)) continue;
      each.sent_session = answer.session;
      each.sent_sequence = answer.sequence;
      answer.commands.push_back({Command::Op::start, each.job, each.index, each.attempt, 0});
    }
  machine.last_answer_s = runtime_.now_s();
  machine.answered = true;
  answer.respond({200, protocol::encode_commands(leadership_.token(), answer.commands)});
}

bool Dispatcher::may_start(const Placement& placement) const {
  if (placement.phase != PlacementPhase::assigned || placement.stopping) return false;
  const auto job = model_.jobs.find(placement.job);
  // A task of a gang that runs has been started, and is gone if it is not shown.
  return job == model_.jobs.end() || !job->second.is_gang() ||
         job->second.gang.phase == bookkeeping::GangAttempt::Phase::assembling;
}

void Dispatcher::answer_pending_of(const std::string& id) {
  const auto held = pending_responses_.find(id);
  if (held == pending_responses_.end()) return;
  PendingResponse answer = std::move(held->second);
  pending_responses_.erase(held);
  const auto machine = model_.machines.find(id);
  if (machine != model_.machines.end()) send_answer(machine->second, std::move(answer));
}

void Dispatcher::answer_pending() {
  const double now = runtime_.now_s();
  std::vector<std::string> due;
  for (const auto& [id, held] : pending_responses_) {
    const auto machine = model_.machines.find(id);
    const bool waits = machine != model_.machines.end() &&
                       (held.plan == plans_ || start_under_way(machine->second));
    if (!waits || now >= held.until_s) due.push_back(id);
  }
  for (const auto& id : due) answer_pending_of(id);
}

Machine* Dispatcher::known_machine(const protocol::Report& report) {
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

void Dispatcher::reconcile(Machine& machine, const protocol::Report& report) {
  const double now = runtime_.now_s();
  if (machine.size.cpus == 0) cloud_.fill_in(machine);
  if (report.session > machine.session) new_session(machine, report.session);
  machine.sequence = report.sequence;
  if (!machine.heard) {
    plan_due_ = true;
    machine.suspect_s = now;
  }
  machine.heard = true;
  machine.heard_s = now;
  machine.late = machine.lost = false;
  if (!machine.confirmed && report.token == leadership_.token()) plan_due_ = true;
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
    plan_due_ = true;
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

void Dispatcher::new_session(Machine& machine, std::uint64_t session) {
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
  journal_.append(bookkeeping::session_entry(machine.id, session));
}

// A worker that hears nobody tries one node after the other, so its reports come to us seldom, and
// its lease ends between two. Starts that session after session does not show tell it from one that
// hung once.
void Dispatcher::judge_session(Machine& machine) {
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
void Dispatcher::suspect(Machine& machine, const std::string& why) {
  if (std::exchange(machine.suspect, true)) return;
  spdlog::info("machine seems not to hear us id={} why=\"{}\"", machine.id, why);
  machine.suspect_s = runtime_.now_s();
}

void Dispatcher::judge_unshown(Machine& machine, const protocol::Report& report) {
  // Only a worker that has seen our token is sure to take no start of an earlier leader any more.
  if (!machine.confirmed) return;
  for (auto& each : machine.placements) {
    if (each.phase == PlacementPhase::exited || each.shown == report.sequence) continue;
    // The report is newer than the one that our newest start answered: that start cannot arrive.
    const bool newer = std::make_pair(each.sent_session, each.sent_sequence) <
                       std::make_pair(report.session, report.sequence);
    if (!newer) continue;
    const Job* job = model_.job(each.job);
    const bool gang_runs = job != nullptr && job->is_gang() &&
                           job->gang.phase == bookkeeping::GangAttempt::Phase::running;
    if (each.shown != 0 || each.stopping || gang_runs) {
      end(machine, each);
    } else if (each.sent_session != 0 && ++each.unheard >= constants::unheard_starts) {
      suspect(machine, "starts are not shown");
      end(machine, each);
    }
  }
}

void Dispatcher::observe(Machine& machine, Placement& placement, const ReportedTask& seen) {
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

void Dispatcher::note_image(Machine& machine, const Job& job) {
  const bool known = machine.holds(job.spec().image);
  machine.touch_image(job.spec().image, job.spec().image_gb);
  if (!known) journal_.append(bookkeeping::image_entry(machine.id, machine.images.back()));
}

void Dispatcher::exited(Machine& machine, Placement& placement, ExitCause cause) {
  Job* job = model_.job(placement.job);
  plan_due_ = true;
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
  placement.log_position =
      journal_.append(bookkeeping::finished_entry(placement.job, placement.index));
  note_closable(placement.job, *job);
}

// The tasks of a gang complete together: the other machines need not be heard.
void Dispatcher::gang_done(Machine& machine, Placement& placement, Job& gang) {
  model_.vacate(machine, placement);
  placement.finished = true;
  machine.failures = 0;
  machine.failed_jobs.clear();
  gang.trust();
  gang.finish_all();
  placement.log_position =
      journal_.append(bookkeeping::finished_entry(placement.job, placement.index));
  note_closable(placement.job, gang);
}

// A machine that fails several jobs is faulty; a job that fails on several machines was submitted
// with a mistake, and condemns none of them.
void Dispatcher::failed(Machine& machine, const Placement& placement, ExitCause cause) {
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

double Dispatcher::stop_grace_s(const Job* job) const {
  if (job == nullptr || job->record.cancelled || job->spec().checkpoint_s <= 0) return 0;
  if (!job->is_gang()) return job->spec().save_s;
  const bool saves = job->gang.phase == bookkeeping::GangAttempt::Phase::running ||
                     job->gang.phase == bookkeeping::GangAttempt::Phase::stopping;
  return saves ? gangs_.stop_grace_s(*job) : 0;
}

// Stops, and leave to forget what has exited. Starts are added when the answer is sent.
std::vector<Command> Dispatcher::commands_for(Machine& machine, const protocol::Report& report) {
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
void Dispatcher::end(Machine& machine, Placement& placement) {
  if (placement.phase == PlacementPhase::exited) return;
  model_.vacate(machine, placement);
  plan_due_ = true;
  Job* job = model_.job(placement.job);
  if (job == nullptr) return;
  journal_.append(bookkeeping::ended_entry(placement.job, placement.index));
  if (job->is_task_finished(placement.index)) return;  // of a gang that is done
  job->requeue(placement.index);
  if (job->is_gang()) GangTracker::on_task_lost(*job, machine.id, runtime_.now_s());
  note_closable(placement.job, *job);
}

void Dispatcher::drop_ended(Machine& machine) {
  std::erase_if(machine.placements, [](const Placement& each) {
    return each.phase == PlacementPhase::exited && !each.finished;
  });
}

void Dispatcher::end_all(Machine& machine, const std::string& why) {
  if (!machine.placements.empty())
    spdlog::info("machine emptied id={} tasks={} why=\"{}\"", machine.id, machine.placements.size(),
                 why);
  for (auto& each : machine.placements) end(machine, each);
  machine.placements.clear();
}

// --- passes ---

void Dispatcher::tick() {
  runtime_.after(constants::tick_s, [this] { tick(); });
  if (!leadership_.leading()) return;
  if (!ready_) return;
  const double now = runtime_.now_s();
  if (now - leases_s_ >= constants::lease_pass_s) {
    leases_s_ = now;
    watch_leases();
    cloud_.pass();
    move_replicas();
  }
  if (plan_due_ && now >= plan_at_s_) {
    plan();
    answer_pending();
  }
  journal_.pump();
  if (now >= close_at_s_ && !closing_) close_jobs();
  if (!pending_responses_.empty()) answer_pending();
}

void Dispatcher::watch_leases() {
  const double now = runtime_.now_s();
  const double lease = waited_out_s(settings_.lease_s);
  // Whoever led before us fell silent in time for every lease that it kept up to end within
  // `cancel_s` of its last renewal, which came before our election (Node::answer_until_s).
  const double former_end = leadership_.won_s() + waited_out_s(settings_.cancel_s);
  for (auto& [id, machine] : model_.machines) {
    if (machine.session == 0) continue;
    if (!machine.heard && !machine.answered && now > former_end && !machine.placements.empty())
      end_all(machine, "not heard, and every former leader's answers have run out");
    machine.late = now - machine.heard_s > constants::late_reports * settings_.report_s + 1;
    if (now - machine.last_answer_s <= lease || machine.lost) continue;
    machine.lost = true;
    plan_due_ = true;
    // Only a worker that has seen our token is sure to have dropped everyone else's answers.
    if (machine.confirmed) {
      judge_session(machine);
      end_all(machine, "lease expired");
    }
    machine.heard = machine.confirmed = false;
  }
  for (auto& [id, job] : model_.jobs) {
    if (job.is_gang()) gangs_.check_assembly(job, now);
    if (job.waiting() > 0 && !job.record.cancelled) plan_due_ = true;
  }
}

// Replicas leave a draining machine one at a time. Each is down from its stop until its start
// elsewhere, so the pause between two moves keeps that cost to a small share of their time.
void Dispatcher::move_replicas() {
  const double now = runtime_.now_s();
  if (now < move_at_s_) return;
  std::size_t replicas = 0;
  Placement* next = nullptr;
  for (auto& [id, machine] : model_.machines)
    for (auto& each : machine.placements) {
      const Job* job = model_.job(each.job);
      if (job == nullptr || job->spec().kind != protocol::JobKind::service) continue;
      ++replicas;
      if (machine.draining && each.phase == PlacementPhase::running && !each.stopping) next = &each;
    }
  if (next == nullptr) return;
  const double pause = constants::moving_reports * settings_.report_s /
                       (static_cast<double>(replicas) * constants::moving_cost);
  if (pause > constants::max_moving_pause_s) return;
  next->stopping = true;
  move_at_s_ = now + pause;
}

void Dispatcher::plan() {
  const double began = runtime_.now_s();
  plan_due_ = false;
  planning::PlanningContext context;
  context.now_s = began;
  context.teams = &settings_.teams;
  context.weights = {constants::local_units, constants::remote_units,
                     properties_.remote_offset_units, true};
  context.report_s = settings_.report_s;
  context.now_wall_s = runtime_.wall_s();
  context.finish_aims = &settings_.finish_aims;
  if (settings_.gang_times) context.gang_wait_s = settings_.gang_times->wait_s;
  planning::Plan made = planning::make_plan(model_, context);
  log_waiting_gangs(std::move(made.waiting_gangs));
  apply_placements(made.placements, began);
  for (const auto& each : made.stops) {
    Placement* placement =
        model_.machines.at(each.machine).find(each.job, each.index, each.attempt);
    stop_task(*placement);
    spdlog::info("task preempted job={} index={} machine={}", each.job, each.index, each.machine);
  }
  least_waiting_cpus_ = std::numeric_limits<std::int64_t>::max();
  for (const auto& [id, job] : model_.jobs)
    if (job.waiting() > 0 && !job.record.cancelled)
      least_waiting_cpus_ = std::min(least_waiting_cpus_, job.spec().each.cpus);
  // A plan's pace follows its own cost, so that reports keep most of the processor.
  const double ended = runtime_.now_s();
  plan_at_s_ = ended + std::max(constants::plan_gap_s, (ended - began) * constants::plan_rest);
}

void Dispatcher::log_waiting_gangs(std::map<std::string, planning::GangWait> waits) {
  for (const auto& [id, why] : waits) {
    const auto before = waiting_gangs_.find(id);
    if (before == waiting_gangs_.end() || before->second != why)
      spdlog::info("gang waits id={} why=\"{}\"", id, planning::wait_text(why));
  }
  waiting_gangs_ = std::move(waits);
}

void Dispatcher::apply_placements(const std::vector<planning::PlannedPlacement>& placements,
                                  double now_s) {
  const std::uint64_t plan_attempt = next_attempt();
  std::map<std::string, std::uint64_t> gang_positions;  // the last of each gang's
  for (const auto& each : placements) {
    Machine& machine = model_.machines.at(each.machine);
    Job& job = model_.jobs.at(each.job);
    if (job.is_gang()) GangTracker::on_placed(job, plan_attempt, now_s);
    const std::uint64_t attempt = job.is_gang() ? job.gang.number : plan_attempt;
    Placement& placed = model_.place(machine, job, attempt, now_s);
    placed.log_position =
        journal_.append(bookkeeping::placed_entry(placed.job, attempt, machine.id, placed.index));
    if (job.is_gang()) gang_positions[job.spec().id] = placed.log_position;
    spdlog::debug("task placed job={} index={} machine={}", placed.job, placed.index, machine.id);
  }
  // No task of a gang starts before the journal names all of them: a successor finds it whole.
  for (const auto& [id, position] : gang_positions)
    model_.jobs.at(id).for_each_placement(
        [position = position](Placement& each) { each.log_position = position; });
}

// --- final records ---

// The final record and the removal of the job's are one change: a job is never seen in between.
// It is conditional on the job's version, so that a cancellation that comes first wins.
void Dispatcher::close_jobs() {
  const double now = runtime_.now_s();
  close_at_s_ = now + constants::write_pass_s;
  if (now - swept_s_ > constants::close_sweep_s) {
    swept_s_ = now;
    for (const auto& [id, job] : model_.jobs) note_closable(id, job);
  }
  protocol::Transaction transaction;
  transaction.conditions.push_back(leadership_.fence());
  std::vector<std::string> jobs;
  while (!closable_.empty() &&
         transaction.changes.size() + 2 <= settings_.state_limits.max_changes()) {
    const std::string id = closable_.extract(closable_.begin()).value();
    const Job* job = model_.job(id);
    if (job == nullptr) continue;
    transaction.conditions.push_back({bookkeeping::over_key(id), 0});
    transaction.conditions.push_back({bookkeeping::job_key(id), job->version});
    transaction.changes.push_back(
        {bookkeeping::over_key(id), bookkeeping::encode_over(final_state(*job)).dump(), 0});
    transaction.changes.push_back({bookkeeping::job_key(id), std::nullopt, 0});
    jobs.push_back(id);
  }
  if (jobs.empty()) return;
  closing_ = true;
  store_.transact(transaction, Urgency::closing,
                  [this, term = term_, jobs](const TransactionResult& result) {
                    if (term == term_) closed(jobs, result);
                  });
}

JobState Dispatcher::final_state(const Job& job) {
  return job.record.cancelled ? JobState::cancelled : JobState::done;
}

void Dispatcher::closed(const std::vector<std::string>& jobs, const TransactionResult& result) {
  closing_ = false;
  if (result.outcome != Outcome::ok) {
    if (leadership_.deposed(result)) return;
    // The sweep brings back those that moved, once the watch has told what became of them.
    close_at_s_ = runtime_.now_s() + constants::state_retry_s;
    // Not the same again: the sweep gathers them anew.
    if (result.outcome == Outcome::invalid) return;
    for (const auto& id : jobs) {
      const Job* job = model_.job(id);
      const bool moved = std::find(result.failed.begin(), result.failed.end(),
                                   bookkeeping::job_key(id)) != result.failed.end();
      if (job != nullptr && !moved) note_closable(id, *job);
    }
    return;
  }
  for (const auto& id : jobs) {
    const Job* job = model_.job(id);
    if (job == nullptr) continue;
    const JobState state = final_state(*job);
    spdlog::info("job over id={} state={}", id, protocol::state_word(state));
    directory_.learn(bookkeeping::over_key(id), bookkeeping::encode_over(state), result.revision);
    directory_.learn(bookkeeping::job_key(id), std::nullopt, result.revision);
  }
}

}  // namespace poppystile::coordination
