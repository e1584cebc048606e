#include "coordination/dispatcher.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "constants.hpp"
#include "planning/planner.hpp"

namespace poppystile::coordination {

namespace keys = bookkeeping::keys;
using bookkeeping::Job;
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

namespace {

constexpr double tick_s = 0.02;             // seconds; half a pass of the record writer
constexpr double lease_pass_s = 0.5;        // seconds; fine against leases of several seconds
constexpr std::size_t most_bytes = 48'000;  // of values in a transaction; the bound is 64 KiB
constexpr double late_reports = 2.5;        // reports missed before a machine counts as late
constexpr double avoid_first_s = 4;  // seconds a machine is avoided after a failure, doubling

std::uint32_t chunk_of(std::uint32_t index) { return index / constants::bitmap_chunk_tasks; }

}  // namespace

Dispatcher::Dispatcher(transport::Runtime& runtime, StateStore& store, Directory& directory,
                       Leadership& leadership, CloudDesk& cloud, const protocol::Settings& settings,
                       const protocol::Properties& properties)
    : runtime_(runtime),
      store_(store),
      directory_(directory),
      leadership_(leadership),
      cloud_(cloud),
      settings_(settings),
      properties_(properties),
      writer_(store, leadership) {
  leadership_.on_won([this] { won(); });
  leadership_.on_lost([this] { lost(); });
  directory_.on_job([this](const std::string& id) { job_changed(id); });
  cloud_.on_gone([this](Machine& machine, const std::string& why) {
    machine.gone = true;
    end_all(machine, why);
  });
}

void Dispatcher::start() { tick(); }

// --- taking over ---

void Dispatcher::won() {
  ++term_;
  store_.set_share(constants::leader_rate_share);
  load_records(term_);
}

void Dispatcher::lost() {
  ++term_;
  ready_ = false;
  store_.set_share(constants::follower_rate_share);
  cloud_.end();
  model_ = {};
}

// Reads what former leaders wrote. They can write no more: their transactions name an older
// version of the leader's key.
void Dispatcher::load_records(std::uint64_t term) {
  const auto retry = [this, term] {
    runtime_.after(constants::state_retry_s, [this, term] {
      if (term == term_) load_records(term);
    });
  };
  // The jobs come by the watch; it must have passed our own election.
  if (directory_.revision() < leadership_.fence().version) return retry();
  const auto guard = [this, term, retry](auto next) {
    return [this, term, retry, next](Outcome outcome, protocol::EntryPage page) {
      if (term != term_) return;
      if (outcome != Outcome::ok) return retry();
      next(std::move(page));
    };
  };
  store_.list_all(keys::machines, Urgency::user, guard([this, guard](protocol::EntryPage machines) {
                    store_.list_all(keys::hires, Urgency::user,
                                    guard([this, guard, machines](protocol::EntryPage hires) {
                                      store_.list_all(
                                          keys::progress, Urgency::user,
                                          guard([this, machines, hires](protocol::EntryPage done) {
                                            build(machines, hires, done);
                                          }));
                                    }));
                  }));
}

void Dispatcher::build(const protocol::EntryPage& machines, const protocol::EntryPage& hires,
                       const protocol::EntryPage& progress) {
  model_ = {};
  cloud_.begin(model_, hires);
  ready_s_ = runtime_.now_s();
  for (const auto& [id, known] : directory_.jobs()) add_job(id, known);
  restore_progress(progress);
  for (const auto& each : machines.entries) {
    try {
      restore_machine(each);
    } catch (const protocol::DecodeError& problem) {
      spdlog::error("record ignored key={} why=\"{}\"", each.key, problem.what());
    }
  }
  ready_ = true;
  plan_due_ = true;
  for (const auto& [id, job] : model_.jobs)
    if (job.record.cancelled) stop_all(id);
  spdlog::info("picture rebuilt token={} jobs={} machines={}", leadership_.token(),
               model_.jobs.size(), model_.machines.size());
}

void Dispatcher::restore_progress(const protocol::EntryPage& progress) {
  for (const auto& each : progress.entries) {
    std::string id;
    std::uint32_t chunk = 0;
    if (!bookkeeping::parse_progress_key(each.key, id, chunk)) continue;
    Job* job = model_.job(id);
    if (job == nullptr || chunk >= job->chunk_stamps.size()) continue;
    try {
      const auto bits = bookkeeping::decode_bitmap(each.value);
      job->chunk_stamps[chunk] = each.version;
      for (std::size_t i = 0; i < bits.size(); ++i) {
        const std::size_t index = std::size_t{chunk} * constants::bitmap_chunk_tasks + i;
        if (!bits[i] || index >= job->phases.size()) continue;
        job->phases[index] = TaskPhase::done;
        ++job->done;
      }
    } catch (const protocol::DecodeError& problem) {
      spdlog::error("record ignored key={} why=\"{}\"", each.key, problem.what());
    }
  }
}

void Dispatcher::restore_machine(const protocol::Entry& entry) {
  const auto record = bookkeeping::decode_machine(entry.value);
  Machine machine;
  machine.id = entry.key.substr(keys::machines.size());
  machine.type = record.type;
  machine.zone = record.zone;
  machine.spot = record.spot;
  machine.session = record.session;
  machine.hired_wall_s = record.hired_wall_s;
  machine.images = record.images;
  machine.stamp = entry.version;
  machine.last_answer_s = machine.idle_since_s = ready_s_;
  cloud_.fill_in(machine);
  for (const auto& task : record.tasks) {
    Job* job = model_.job(task.job);
    if (job == nullptr || task.index >= job->phases.size()) continue;  // over: nothing left to do
    if (job->phases[task.index] == TaskPhase::done) continue;
    Placement placement;
    placement.job = task.job;
    placement.index = task.index;
    placement.attempt = task.attempt;
    placement.each = job->spec().each;
    placement.recorded = true;
    placement.since_s = ready_s_;
    if (job->phases[task.index] == TaskPhase::placed) {
      // Guards against a record that a write of unknown outcome left behind: neither place is
      // trusted until both are proven empty.
      spdlog::error("task named twice job={} index={} machine={}", task.job, task.index,
                    machine.id);
      placement.stopping = true;
      for (auto& [id, other] : model_.machines)
        for (auto& each : other.placements)
          if (each.job == task.job && each.index == task.index) each.stopping = true;
    } else {
      job->phases[task.index] = TaskPhase::placed;
      ++job->placed;
    }
    machine.used += placement.each;
    model_.teams[job->spec().team].used += placement.each;
    machine.placements.push_back(std::move(placement));
  }
  model_.machines.emplace(machine.id, std::move(machine));
}

// --- jobs ---

void Dispatcher::job_changed(const std::string& id) {
  if (!ready_) return;
  const KnownJob* known = directory_.job(id);
  if (known == nullptr) {
    model_.jobs.erase(id);
    return;
  }
  Job* job = model_.job(id);
  if (job == nullptr) {
    add_job(id, *known);
  } else {
    job->record = known->record;
    job->stamp = known->version;
  }
  if (known->record.cancelled) stop_all(id);
  plan_due_ = true;
}

void Dispatcher::add_job(const std::string& id, const KnownJob& known) {
  Job job;
  job.record = known.record;
  job.stamp = known.version;
  const std::uint32_t tasks = known.record.spec.tasks;
  job.phases.assign(tasks, TaskPhase::waiting);
  const std::size_t chunks = chunk_of(tasks - 1) + 1;
  job.chunk_stamps.assign(chunks, 0);
  job.chunk_dirty.assign(chunks, false);
  model_.jobs.emplace(id, std::move(job));
}

void Dispatcher::stop_all(const std::string& job) {
  for (auto& [id, machine] : model_.machines)
    for (auto& each : machine.placements)
      if (each.job == job) each.stopping = true;
}

TaskCounts Dispatcher::counts(const std::string& job) const {
  const auto it = model_.jobs.find(job);
  if (it == model_.jobs.end()) return {};
  return {it->second.done + it->second.finished, it->second.running};
}

std::vector<std::string> Dispatcher::job_ids(std::size_t most) const {
  std::vector<std::string> out;
  for (const auto& [id, job] : model_.jobs) {
    if (out.size() == most) break;
    out.push_back(id);
  }
  return out;
}

std::uint64_t Dispatcher::next_attempt() {
  // The token makes attempts of different leaders distinct and growing, without a record.
  return (leadership_.token() << constants::attempt_bits) | ++attempts_;
}

// --- reports ---

HttpResponse Dispatcher::report(const protocol::Report& report) {
  const auto answer = [&](const std::vector<Command>& commands) {
    return HttpResponse{200, protocol::encode_commands(leadership_.token(), commands)};
  };
  if (report.token > leadership_.token()) {
    leadership_.step_down("a worker has seen a higher token");
    return {421, protocol::encode_redirect("")};
  }
  if (!ready_) return answer({});
  Machine* machine = known_machine(report);
  if (machine == nullptr) return answer({});
  const auto order = std::make_pair(report.session, report.sequence);
  if (order <= std::make_pair(machine->session, machine->sequence)) return answer({});
  reconcile(*machine, report);
  const auto commands = commands_for(*machine, report);
  machine->last_answer_s = runtime_.now_s();
  return answer(commands);
}

Machine* Dispatcher::known_machine(const protocol::Report& report) {
  const auto it = model_.machines.find(report.machine);
  if (it != model_.machines.end()) return it->second.gone ? nullptr : &it->second;
  if (cloud_.released(report.machine)) return nullptr;
  Machine machine;
  machine.id = report.machine;
  machine.type = report.type;
  machine.zone = report.zone;
  machine.spot = report.spot;
  machine.hired_wall_s = runtime_.wall_s();
  machine.dirty = true;
  if (!cloud_.fill_in(machine)) return nullptr;
  spdlog::info("machine adopted from its report id={}", machine.id);
  return &model_.machines.emplace(machine.id, std::move(machine)).first->second;
}

void Dispatcher::reconcile(Machine& machine, const protocol::Report& report) {
  const double now = runtime_.now_s();
  if (machine.size.cpus == 0) cloud_.fill_in(machine);
  if (report.session > machine.session) {
    // The session's end killed whatever was there.
    if (machine.session != 0) end_all(machine, "new session");
    machine.session = report.session;
    machine.dirty = true;
  }
  machine.sequence = report.sequence;
  if (!machine.heard) {
    plan_due_ = true;
    machine.idle_since_s = now;
  }
  machine.heard = true;
  machine.heard_s = now;
  machine.late = machine.lost = false;
  if (!machine.confirmed && report.token == leadership_.token()) plan_due_ = true;
  machine.confirmed = report.token == leadership_.token();
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
      if (service || *report.notice_s <= 2.5 * settings_.report_s) each.stopping = true;
    }
  std::set<std::uint64_t> shown;
  for (const auto& seen : report.tasks)
    if (Placement* placement = machine.find(seen.job, seen.index, seen.attempt)) {
      shown.insert(placement->attempt);
      observe(machine, *placement, seen);
    }
  for (auto& each : machine.placements) {
    if (each.phase == PlacementPhase::exited || shown.contains(each.attempt)) continue;
    // Absent from a report that is newer than our last start, by a worker that has seen our
    // token: no start of ours or of an earlier leader can still arrive.
    const bool newer = std::make_pair(each.sent_session, each.sent_sequence) <
                       std::make_pair(report.session, report.sequence);
    if (machine.confirmed && newer && (each.shown || each.stopping)) end(machine, each);
  }
}

void Dispatcher::observe(Machine& machine, Placement& placement, const ReportedTask& seen) {
  placement.shown = true;
  if (placement.phase == PlacementPhase::exited) return;
  Job* job = model_.job(placement.job);
  if (seen.state == TaskState::exited) return exited(machine, placement, seen.cause);
  const PlacementPhase phase = seen.state == TaskState::running  ? PlacementPhase::running
                               : seen.state == TaskState::saving ? PlacementPhase::saving
                                                                 : PlacementPhase::fetching;
  if (phase == placement.phase) return;
  if (job != nullptr) {
    if (placement.phase == PlacementPhase::running) --job->running;
    if (phase == PlacementPhase::running) {
      ++job->running;
      machine.touch_image(job->spec().image, job->spec().image_gb);
    }
  }
  placement.phase = phase;
  placement.since_s = runtime_.now_s();
}

void Dispatcher::exited(Machine& machine, Placement& placement, ExitCause cause) {
  Job* job = model_.job(placement.job);
  if (placement.stopping && job != nullptr) plan_due_ = true;
  if (cause != ExitCause::done || job == nullptr) {
    failed(machine, placement, cause);
    return end(machine, placement);
  }
  model_.vacate(machine, placement);
  plan_due_ = true;
  placement.finished = true;
  machine.failures = 0;
  machine.failed_jobs.clear();
  machine.touch_image(job->spec().image, job->spec().image_gb);
  job->failed_on.clear();
  job->retry_pause_s = 0;
  if (job->phases[placement.index] != TaskPhase::placed) return;
  job->phases[placement.index] = TaskPhase::finished;
  --job->placed;
  ++job->finished;
  job->chunk_dirty[chunk_of(placement.index)] = true;
}

// A machine that fails several jobs is faulty; a job that fails on several machines was submitted
// with a mistake, and condemns none of them.
void Dispatcher::failed(Machine& machine, const Placement& placement, ExitCause cause) {
  Job* job = model_.job(placement.job);
  if (job == nullptr || cause == ExitCause::stopped || cause == ExitCause::done) return;
  const double now = runtime_.now_s();
  spdlog::info("task failed job={} index={} machine={} cause={}", placement.job, placement.index,
               machine.id, static_cast<int>(cause));
  if (cause == ExitCause::error) job->failed_on.insert(machine.id);
  const bool job_at_fault = job->failed_on.size() >= 2 || cause == ExitCause::unknown;
  if (job_at_fault) {
    job->retry_pause_s =
        std::clamp(job->retry_pause_s * 2, constants::retry_first_s, constants::retry_most_s);
    job->retry_at_s = now + job->retry_pause_s;
    return;
  }
  ++machine.failures;
  machine.failed_jobs.insert(placement.job);
  machine.avoid_until_s = now + avoid_first_s * (1 << std::min(machine.failures, 4));
  if (machine.failures >= constants::quarantine_failures && machine.failed_jobs.size() >= 2 &&
      !std::exchange(machine.quarantined, true)) {
    spdlog::info("machine quarantined id={} failures={}", machine.id, machine.failures);
    for (auto& each : machine.placements) each.stopping = true;
  }
}

std::vector<Command> Dispatcher::commands_for(Machine& machine, const protocol::Report& report) {
  std::vector<Command> out;
  for (const auto& seen : report.tasks) {
    const Placement* placement = machine.find(seen.job, seen.index, seen.attempt);
    Command command{Command::Op::stop, seen.job, seen.index, seen.attempt, 0};
    const bool over = seen.state == TaskState::exited;
    if (over) {
      // A finished task is kept until its bit is durable; then its placement is gone from here.
      if (placement != nullptr && placement->finished) continue;
      command.op = Command::Op::forget;
    } else if (placement != nullptr) {
      if (!placement->stopping) continue;
      const Job* job = model_.job(placement->job);
      const bool save = job != nullptr && !job->record.cancelled && job->spec().checkpoint_s > 0;
      if (save && seen.state == TaskState::saving) continue;
      command.grace_s = save ? job->spec().save_s : 0;
    }
    out.push_back(std::move(command));
  }
  if (!machine.confirmed) return out;
  for (auto& each : machine.placements) {
    if (each.phase != PlacementPhase::assigned || !each.recorded || each.stopping) continue;
    each.sent_session = report.session;
    each.sent_sequence = report.sequence;
    out.push_back({Command::Op::start, each.job, each.index, each.attempt, 0});
  }
  return out;
}

// The placement is proven to be off the machine. Its task is free once the record says so.
void Dispatcher::end(Machine& machine, Placement& placement) {
  if (placement.ended || placement.finished) return;
  model_.vacate(machine, placement);
  placement.ended = true;
  machine.dirty = true;
  plan_due_ = true;
}

void Dispatcher::end_all(Machine& machine, const std::string& why) {
  if (!machine.placements.empty())
    spdlog::info("machine emptied id={} tasks={} why=\"{}\"", machine.id, machine.placements.size(),
                 why);
  for (auto& each : machine.placements) end(machine, each);
}

// --- passes ---

void Dispatcher::tick() {
  runtime_.after(tick_s, [this] { tick(); });
  if (!ready_ || !leadership_.leading()) return;
  const double now = runtime_.now_s();
  if (now - leases_s_ >= lease_pass_s) {
    leases_s_ = now;
    watch_leases();
    cloud_.pass();
  }
  if (plan_due_ && now - planned_s_ >= constants::plan_gap_s) plan();
  if (now - flushed_s_ >= constants::write_pass_s && !writer_.busy()) flush();
}

void Dispatcher::watch_leases() {
  const double now = runtime_.now_s();
  const double lease = settings_.lease_s * (1 + constants::clock_drift) + constants::lease_margin_s;
  for (auto& [id, machine] : model_.machines) {
    if (machine.session == 0) continue;
    machine.late = now - machine.heard_s > late_reports * settings_.report_s + 1;
    if (!machine.placements.empty()) machine.idle_since_s = now;
    if (now - machine.last_answer_s <= lease || machine.lost) continue;
    machine.lost = true;
    plan_due_ = true;
    // Only a worker that has seen our token is sure to have dropped everyone else's answers.
    if (machine.confirmed) end_all(machine, "lease expired");
    machine.heard = machine.confirmed = false;
  }
  for (const auto& [id, job] : model_.jobs)
    if (job.waiting() > 0) plan_due_ = true;
}

void Dispatcher::plan() {
  planned_s_ = runtime_.now_s();
  plan_due_ = false;
  planning::PlanningContext context;
  context.now_s = planned_s_;
  context.teams = &settings_.teams;
  context.weights = {constants::local_units, constants::remote_units,
                     properties_.remote_offset_units, true};
  const planning::Plan made = planning::make_plan(model_, context);
  for (const auto& each : made.placements)
    model_.place(model_.machines.at(each.machine), model_.jobs.at(each.job), next_attempt(),
                 planned_s_);
  for (const auto& each : made.stops) {
    Placement* placement =
        model_.machines.at(each.machine).find(each.job, each.index, each.attempt);
    placement->stopping = true;
    spdlog::info("task preempted job={} index={} machine={}", each.job, each.index, each.machine);
  }
}

// --- writing ---

std::size_t Dispatcher::room_left(const std::vector<RecordChange>& out) const {
  std::size_t bytes = 0;
  for (const auto& each : out) bytes += each.value ? each.value->size() : 0;
  const auto most = static_cast<std::size_t>(settings_.txn_ops);
  return bytes >= most_bytes || out.size() >= most ? 0 : most - out.size();
}

void Dispatcher::flush() {
  flushed_s_ = runtime_.now_s();
  std::vector<RecordChange> changes;
  collect_jobs(changes);
  collect_progress(changes);
  collect_hires(changes);
  collect_machines(changes);
  if (changes.empty()) return;
  writer_.write(std::move(changes), Urgency::placement, [this](Outcome outcome) {
    if (outcome != Outcome::ok) flushed_s_ = runtime_.now_s() + constants::state_retry_s;
  });
}

void Dispatcher::collect_jobs(std::vector<RecordChange>& out) {
  for (auto& [id, job] : model_.jobs) {
    const bool finished = !job.record.cancelled && job.all_finished();
    const bool withdrawn = job.record.cancelled && job.placed == 0;
    if (!finished && !withdrawn) continue;
    if (room_left(out) < job.chunk_stamps.size() + 2) return;
    close_job(id, job, out);
  }
}

// The final record and the removal of the others are one change: a job is never seen in between.
// It is conditional on the job's version, so that a cancellation that comes first wins.
void Dispatcher::close_job(const std::string& id, Job& job, std::vector<RecordChange>& out) {
  const JobState state = job.record.cancelled ? JobState::cancelled : JobState::done;
  const protocol::Json over = bookkeeping::encode_over(state);
  const auto ignore = [](std::uint64_t) {};
  for (std::uint32_t c = 0; c < job.chunk_stamps.size(); ++c) {
    if (job.chunk_stamps[c] == 0) continue;
    out.push_back({bookkeeping::progress_key(id, c), job.chunk_stamps[c], std::nullopt, ignore,
                   [this, id, c](std::uint64_t version) {
                     if (Job* found = model_.job(id)) found->chunk_stamps[c] = version;
                   }});
  }
  out.push_back({bookkeeping::over_key(id), 0, over.dump(),
                 [this, id, over, state](std::uint64_t version) {
                   for (auto& [name, machine] : model_.machines)
                     std::erase_if(machine.placements, [&](const Placement& each) {
                       return each.job == id && each.phase == PlacementPhase::exited;
                     });
                   spdlog::info("job over id={} state={}", id, protocol::state_word(state));
                   directory_.learn(bookkeeping::over_key(id), over, version);
                   directory_.learn(bookkeeping::job_key(id), std::nullopt, version);
                 },
                 ignore});
  out.push_back({bookkeeping::job_key(id), job.stamp, std::nullopt, ignore, ignore});
}

void Dispatcher::collect_progress(std::vector<RecordChange>& out) {
  for (auto& [id, job] : model_.jobs) {
    if (job.record.cancelled || job.all_finished()) continue;  // closing says it all
    for (std::uint32_t c = 0; c < job.chunk_dirty.size(); ++c) {
      if (!job.chunk_dirty[c]) continue;
      if (room_left(out) == 0) return;
      const std::size_t first = std::size_t{c} * constants::bitmap_chunk_tasks;
      const std::size_t last =
          std::min<std::size_t>(first + constants::bitmap_chunk_tasks, job.phases.size());
      std::vector<bool> bits(last - first);
      for (std::size_t i = first; i < last; ++i)
        bits[i - first] = job.phases[i] == TaskPhase::finished || job.phases[i] == TaskPhase::done;
      const std::string key = bookkeeping::progress_key(id, c);
      const std::string value = bookkeeping::encode_bitmap(bits).dump();
      out.push_back({key, job.chunk_stamps[c], value,
                     [this, id = id, c, bits](std::uint64_t version) {
                       progress_landed(id, c, bits, version);
                     },
                     [this, id = id, c](std::uint64_t version) {
                       if (Job* found = model_.job(id)) found->chunk_stamps[c] = version;
                     }});
    }
  }
}

void Dispatcher::progress_landed(const std::string& id, std::uint32_t chunk,
                                 const std::vector<bool>& written, std::uint64_t version) {
  Job* job = model_.job(id);
  if (job == nullptr) return;
  job->chunk_stamps[chunk] = version;
  const std::uint32_t first = chunk * constants::bitmap_chunk_tasks;
  bool more = false;
  for (std::uint32_t i = 0; i < written.size(); ++i) {
    TaskPhase& phase = job->phases[first + i];
    if (phase != TaskPhase::finished) continue;
    if (!written[i]) {
      more = true;
      continue;
    }
    phase = TaskPhase::done;
    --job->finished;
    ++job->done;
  }
  job->chunk_dirty[chunk] = more;
  // The worker may forget these now: the next report's answer tells it to. The machine's record
  // goes on naming them until it is written for another reason, which does no harm: a new leader
  // reads the bits first.
  for (auto& [name, machine] : model_.machines)
    std::erase_if(machine.placements, [&](const Placement& each) {
      return each.finished && each.job == id && job->phases[each.index] == TaskPhase::done;
    });
}

void Dispatcher::collect_machines(std::vector<RecordChange>& out) {
  if (model_.machines.empty()) return;
  auto it = model_.machines.upper_bound(machine_cursor_);
  for (std::size_t seen = 0; seen < model_.machines.size(); ++seen, ++it) {
    if (it == model_.machines.end()) it = model_.machines.begin();
    auto& [id, machine] = *it;
    if (!machine.dirty && !machine.gone) continue;
    if (room_left(out) == 0) return;
    machine_cursor_ = id;
    const auto refreshed = [this, id = id](std::uint64_t version) {
      const auto found = model_.machines.find(id);
      if (found != model_.machines.end()) found->second.stamp = version;
    };
    if (machine.gone) {
      out.push_back({bookkeeping::machine_key(id), machine.stamp, std::nullopt,
                     [this, id = id](std::uint64_t) { machine_removed(id); }, refreshed});
      continue;
    }
    std::set<std::uint64_t> named;
    for (const auto& each : machine.placements)
      if (!each.ended) named.insert(each.attempt);
    out.push_back({bookkeeping::machine_key(id), machine.stamp,
                   bookkeeping::encode(machine.record()).dump(),
                   [this, id = id, named, session = machine.session](std::uint64_t version) {
                     machine_landed(id, named, session, version);
                   },
                   refreshed});
  }
}

void Dispatcher::machine_landed(const std::string& id, const std::set<std::uint64_t>& named,
                                std::uint64_t session, std::uint64_t version) {
  const auto it = model_.machines.find(id);
  if (it == model_.machines.end()) return;
  Machine& machine = it->second;
  machine.stamp = version;
  machine.dirty = machine.session != session;
  std::vector<Placement> freed;
  for (auto& each : machine.placements) {
    if (named.contains(each.attempt)) {
      each.recorded = true;
      if (each.ended) machine.dirty = true;
    } else if (each.ended) {
      freed.push_back(each);
    } else {
      machine.dirty = true;  // placed since this was put together
    }
  }
  std::erase_if(machine.placements,
                [&](const Placement& each) { return each.ended && !named.contains(each.attempt); });
  for (const auto& each : freed) release_task(each);
}

void Dispatcher::machine_removed(const std::string& id) {
  const auto it = model_.machines.find(id);
  if (it == model_.machines.end()) return;
  const auto freed = std::move(it->second.placements);
  model_.machines.erase(it);
  for (const auto& each : freed)
    if (each.ended) release_task(each);
}

// No record names this placement any more. The task may go elsewhere, unless another place still
// has it (see restore_machine).
void Dispatcher::release_task(const Placement& placement) {
  Job* job = model_.job(placement.job);
  if (job == nullptr || job->phases[placement.index] != TaskPhase::placed) return;
  for (const auto& [id, machine] : model_.machines)
    for (const auto& each : machine.placements)
      if (each.index == placement.index && each.job == placement.job && !each.finished) return;
  job->give_back(placement.index);
  plan_due_ = true;
}

void Dispatcher::collect_hires(std::vector<RecordChange>& out) {
  for (auto& [name, hire] : cloud_.hires()) {
    if (hire.recorded && !hire.settled) continue;
    if (room_left(out) == 0) return;
    const auto refreshed = [this, name = name](std::uint64_t version) {
      const auto found = cloud_.hires().find(name);
      if (found == cloud_.hires().end()) return;
      found->second.version = version;
      found->second.recorded = version != 0;
    };
    if (hire.settled) {
      out.push_back({bookkeeping::hire_key(name), hire.version, std::nullopt,
                     [this, name = name](std::uint64_t) { cloud_.hires().erase(name); },
                     refreshed});
    } else {
      out.push_back({bookkeeping::hire_key(name), 0, bookkeeping::encode(hire.record).dump(),
                     [this, name = name](std::uint64_t version) {
                       auto& landed = cloud_.hires()[name];
                       landed.version = version;
                       landed.recorded = true;
                     },
                     refreshed});
    }
  }
}

}  // namespace poppystile::coordination
