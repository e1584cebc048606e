#include "coordination/leader/leader.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "cluster/snapshot.hpp"
#include "constants.hpp"
#include "coordination/election/lease_time.hpp"
#include "planning/planner.hpp"

namespace poppystile::coordination {

using cluster::Job;
using cluster::Machine;
using cluster::Placement;
using cluster::PlacementPhase;
using cluster::TaskPhase;
using protocol::Command;
using storage::Ledger;
using storage::LedgerMachine;
using transport::HttpResponse;
using transport::Respond;

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
      finalizer_(runtime, model_, directory, store, leadership, settings),
      reports_(runtime, model_, leadership, journal, cloud, finalizer_, settings,
               [this] { plan_due_ = true; }) {
  leadership_.on_won([this] { won(); });
  leadership_.on_lost([this] { lost(); });
  directory_.on_job([this](const std::string& id) { job_changed(id); });
  journal_.on_landed([this] { answer_pending(); });
  journal_.on_snapshot([this] {
    return cluster::snapshot_entries(model_, cloud_.rental_records(),
                                     {journal_.max_entry_runs(), journal_.max_bitmap_tasks()});
  });
  cloud_.on_gone([this](Machine& machine, const std::string& why) {
    reports_.end_all(machine, why);
    pending_responses_.erase(machine.id);
    journal_.append(storage::gone_entry(machine.id));
    model_.machines.erase(std::string(machine.id));
  });
}

void Dispatcher::start() { tick(); }

// --- taking over ---

void Dispatcher::won() {
  ++term_;
  attempts_ = cluster::AttemptNumbers(leadership_.token());
  store_.set_share(constants::leader_rate_share);
  load(term_);
}

void Dispatcher::lost() {
  ++term_;
  ready_ = quiet_ = false;
  store_.set_share(constants::follower_rate_share);
  cloud_.end();
  journal_.end();
  finalizer_.reset();
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
    if (job.record.cancelled) reports_.stop_all(id);
    finalizer_.consider(id, job);
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

// --- jobs ---

void Dispatcher::job_changed(const std::string& id) {
  if (!ready_) return;
  const KnownJob* known = directory_.job(id);
  if (known == nullptr) {
    finalizer_.forget(id);
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
  if (known->record.cancelled) reports_.stop_all(id);
  finalizer_.consider(id, *job);
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

// --- reports ---

void Dispatcher::report(const protocol::Report& report, Respond respond) {
  const auto nothing = [&] { respond({200, protocol::encode_commands(leadership_.token(), {})}); };
  if (report.token > leadership_.token()) {
    leadership_.step_down("a worker has seen a higher token");
    return respond({421, protocol::encode_redirect("")});
  }
  if (quiet_) return respond({503, protocol::encode_error("waiting for every lease to end")});
  if (!ready_) return nothing();
  Machine* machine = reports_.known_machine(report);
  if (machine == nullptr) return nothing();
  // Copies and late reports: whatever is not newer than what was taken in says nothing.
  const auto order = std::make_pair(report.session, report.sequence);
  if (order <= std::make_pair(machine->session, machine->sequence)) return nothing();
  reports_.reconcile(*machine, report);
  PendingResponse answer{std::move(respond),
                         reports_.commands_for(*machine, report),
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
         job->second.gang.phase == cluster::GangAttempt::Phase::assembling;
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
    check_fleet_size();
  }
  if (plan_due_ && now >= plan_at_s_) {
    plan();
    answer_pending();
  }
  journal_.pump();
  finalizer_.pump();
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
      reports_.end_all(machine, "not heard, and every former leader's answers have run out");
    machine.late = now - machine.heard_s > constants::late_reports * settings_.report_s + 1;
    if (now - machine.last_answer_s <= lease || machine.lost) continue;
    machine.lost = true;
    plan_due_ = true;
    // Only a worker that has seen our token is sure to have dropped everyone else's answers.
    if (machine.confirmed) {
      reports_.judge_session(machine);
      reports_.end_all(machine, "lease expired");
    }
    machine.heard = machine.confirmed = false;
  }
  for (auto& [id, job] : model_.jobs) {
    if (job.is_gang()) reports_.check_assembly(job);
    if (job.waiting() > 0 && !job.record.cancelled) plan_due_ = true;
  }
}

void Dispatcher::check_fleet_size() {
  const double connections = settings_.sockets * constants::server_socket_share;
  const auto machines = static_cast<double>(model_.machines.size());
  if (machines <= connections || std::exchange(warned_of_size_, true)) return;
  spdlog::error(
      "sockets: {} leave {:.0f} connections for workers and users, but there are {} machines",
      settings_.sockets, connections, machines);
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
  ++plans_;
  const auto attempt = attempts_.next();
  if (!attempt) return leadership_.resign("its attempt numbers are used up", 0);
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
  apply_placements(made.placements, *attempt, began);
  for (const auto& each : made.stops) {
    Placement* placement =
        model_.machines.at(each.machine).find(each.job, each.index, each.attempt);
    reports_.stop_task(*placement);
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
                                  std::uint64_t plan_attempt, double now_s) {
  std::map<std::string, std::uint64_t> gang_positions;  // the last of each gang's
  for (const auto& each : placements) {
    Machine& machine = model_.machines.at(each.machine);
    Job& job = model_.jobs.at(each.job);
    if (job.is_gang()) GangTracker::on_placed(job, plan_attempt, now_s);
    const std::uint64_t attempt = job.is_gang() ? job.gang.number : plan_attempt;
    Placement& placed = model_.place(machine, job, attempt, now_s);
    placed.log_position =
        journal_.append(storage::placed_entry(placed.job, attempt, machine.id, placed.index));
    if (job.is_gang()) gang_positions[job.spec().id] = placed.log_position;
    spdlog::debug("task placed job={} index={} machine={}", placed.job, placed.index, machine.id);
  }
  // No task of a gang starts before the journal names all of them: a successor finds it whole.
  for (const auto& [id, position] : gang_positions)
    model_.jobs.at(id).for_each_placement(
        [position = position](Placement& each) { each.log_position = position; });
}

}  // namespace poppystile::coordination
