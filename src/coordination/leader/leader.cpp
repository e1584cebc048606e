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
using storage::IndexRange;
using storage::ReplayedMachine;
using storage::ReplayedState;
using transport::HttpResponse;
using transport::Respond;

Leader::Leader(transport::Runtime& runtime, SharedStateCache& shared_state,
               KeyValueClient& key_value_client, LeaderElection& election, JournalWriter& journal,
               FleetManager& fleet, const protocol::Settings& settings,
               const protocol::Properties& properties)
    : runtime_(runtime),
      shared_state_(shared_state),
      key_value_client_(key_value_client),
      election_(election),
      journal_(journal),
      fleet_(fleet),
      settings_(settings),
      properties_(properties),
      finalizer_(runtime, cluster_state_, shared_state, key_value_client, election, settings),
      heartbeats_(runtime, cluster_state_, election, journal, fleet, finalizer_, settings,
                  [this] { plan_is_due_ = true; }) {
  election_.on_elected([this] { on_elected(); });
  election_.on_deposed([this] { on_deposed(); });
  shared_state_.on_job([this](const std::string& id) { on_job_changed(id); });
  journal_.on_committed([this] { send_due_responses(); });
  journal_.on_snapshot([this] {
    return cluster::snapshot_entries(cluster_state_, fleet_.rental_records(),
                                     journal_.entry_limits());
  });
  fleet_.on_machine_removed([this](Machine& machine, const std::string& why) {
    heartbeats_.evict_all(machine, why);
    pending_responses_.erase(machine.id);
    journal_.append(storage::MachineRemoved{machine.id});
    cluster_state_.machines.erase(std::string(machine.id));
  });
}

void Leader::start() { tick(); }

// --- taking over ---

void Leader::on_elected() {
  ++term_;
  attempts_ = cluster::AttemptNumbers(election_.token());
  key_value_client_.set_share(constants::leader_rate_share);
  load(term_);
}

void Leader::on_deposed() {
  ++term_;
  ready_ = waiting_for_lease_expiry_ = false;
  key_value_client_.set_share(constants::follower_rate_share);
  fleet_.end_term();
  journal_.end_term();
  finalizer_.reset();
  for (auto& [id, held] : std::exchange(pending_responses_, {}))
    held.respond({421, protocol::encode_redirect("")});
  cluster_state_ = {};
}

// Reads what former leaders wrote. They can write no more: their transactions name an older
// version of the leader's key.
void Leader::load(std::uint64_t term) {
  // The jobs come by the watch; it must have passed our own election.
  if (shared_state_.revision() < election_.fence().version) {
    runtime_.after(constants::leader_tick, [this, term] {
      if (term == term_) load(term);
    });
    return;
  }
  journal_.load([this, term](std::optional<ReplayedState> replayed) {
    if (term != term_) return;
    if (replayed) return rebuild_cluster_state(*replayed);
    // Anything may run anywhere. A former leader falls silent in time for its workers' leases to
    // end within `cancel_s` of its last renewal (Controller::may_respond_until); nobody answers
    // them now, so after that time nothing runs.
    spdlog::error("waiting until every lease has ended seconds={}",
                  settings_.cancel_timeout.count());
    waiting_for_lease_expiry_ = true;
    runtime_.after(with_clock_drift(settings_.cancel_timeout), [this, term] {
      if (term != term_) return;
      journal_.reset([this, term] {
        if (term != term_) return;
        waiting_for_lease_expiry_ = false;
        rebuild_cluster_state({});
      });
    });
  });
}

void Leader::rebuild_cluster_state(const ReplayedState& replayed) {
  cluster_state_ = {};
  ready_at_ = runtime_.now();
  fleet_.begin_term(cluster_state_, replayed.rentals);
  for (const auto& [id, known] : shared_state_.jobs()) {
    Job& job = add_job(id, known);
    const auto found = replayed.jobs.find(id);
    if (found == replayed.jobs.end()) continue;
    const auto& finished = found->second.finished;
    for (std::uint32_t i = 0; i < std::min(finished.size(), job.phases.size()); ++i)
      if (finished[i]) job.finish(i);
    if (job.is_gang() && job.finished > 0) job.finish_all();
  }
  for (const auto& [id, known] : replayed.machines) restore_machine(id, known, replayed);
  for (auto& [id, job] : cluster_state_.jobs)
    if (job.is_gang()) GangTracker::on_restored(job, ready_at_);
  ready_ = true;
  plan_is_due_ = true;
  for (auto& [id, job] : cluster_state_.jobs) {
    if (job.record.cancelled) heartbeats_.stop_job(id);
    finalizer_.enqueue_if_final(id, job);
  }
  spdlog::info("picture rebuilt token={} jobs={} machines={}", election_.token(),
               cluster_state_.jobs.size(), cluster_state_.machines.size());
}

void Leader::restore_machine(const std::string& id, const ReplayedMachine& known,
                             const ReplayedState& replayed) {
  Machine fresh;
  fresh.id = id;
  fresh.type = known.type;
  fresh.zone = known.zone;
  fresh.spot = known.spot;
  fresh.incarnation = known.incarnation;
  fresh.rented_at = known.rented_at;
  fresh.images = known.images;
  fresh.last_response_at = fresh.last_heartbeat_at = ready_at_;
  fleet_.apply_machine_type(fresh);
  Machine& machine = cluster_state_.machines.emplace(id, std::move(fresh)).first->second;
  for (const auto& [job_id, index] : known.tasks) {
    Job* job = cluster_state_.job(job_id);
    if (job == nullptr || index >= job->phases.size()) continue;  // over: nothing left to do
    if (job->is_task_finished(index)) continue;  // of a gang that is done: it has exited
    const auto& task = replayed.jobs.at(job_id).placed.at(index);
    cluster_state_.restore(machine, *job, index, task.attempt, ready_at_);
  }
}

// --- jobs ---

void Leader::on_job_changed(const std::string& id) {
  if (!ready_) return;
  const CachedJob* known = shared_state_.job(id);
  if (known == nullptr) {
    finalizer_.forget(id);
    cluster_state_.jobs.erase(id);
    return;
  }
  Job* job = cluster_state_.job(id);
  if (job == nullptr) {
    job = &add_job(id, *known);
  } else {
    job->record = known->record;
    job->version = known->version;
  }
  if (known->record.cancelled) heartbeats_.stop_job(id);
  finalizer_.enqueue_if_final(id, *job);
  plan_is_due_ = true;
}

Job& Leader::add_job(const std::string& id, const CachedJob& known) {
  Job job;
  job.record = known.record;
  job.version = known.version;
  job.phases.assign(known.record.spec.tasks, TaskPhase::waiting);
  if (job.is_gang()) cluster_state_.record_recent_gang(job.record);
  return cluster_state_.jobs.insert_or_assign(id, std::move(job)).first->second;
}

TaskCounts Leader::counts(const std::string& job) const {
  const auto it = cluster_state_.jobs.find(job);
  if (it == cluster_state_.jobs.end()) return {};
  return {it->second.finished, it->second.running};
}

std::vector<std::string> Leader::job_ids(std::size_t most) const {
  std::vector<std::string> out;
  for (const auto& [id, job] : cluster_state_.jobs) {
    if (out.size() == most) break;
    out.push_back(id);
  }
  return out;
}

std::size_t Leader::responsive_machine_count() const {
  return static_cast<std::size_t>(std::count_if(
      cluster_state_.machines.begin(), cluster_state_.machines.end(),
      [](const auto& each) { return each.second.has_reported && !each.second.lease_expired; }));
}

// --- reports ---

void Leader::handle_heartbeat(const protocol::Heartbeat& heartbeat, Respond respond) {
  const auto nothing = [&] { respond({200, protocol::encode_commands(election_.token(), {})}); };
  if (heartbeat.token > election_.token()) {
    election_.step_down("a worker has seen a higher token");
    return respond({421, protocol::encode_redirect("")});
  }
  if (waiting_for_lease_expiry_)
    return respond({503, protocol::encode_error("waiting for every lease to end")});
  if (!ready_) return nothing();
  Machine* machine = heartbeats_.find_or_adopt_machine(heartbeat);
  if (machine == nullptr) return nothing();
  // Copies and late reports: whatever is not newer than what was taken in says nothing.
  const auto order = std::make_pair(heartbeat.incarnation, heartbeat.sequence);
  if (order <= std::make_pair(machine->incarnation, machine->sequence)) return nothing();
  heartbeats_.reconcile(*machine, heartbeat);
  PendingResponse answer{std::move(respond),    heartbeats_.commands_for(*machine, heartbeat),
                         heartbeat.incarnation, heartbeat.sequence,
                         plan_count_,           runtime_.now() + constants::max_response_hold};
  // The former report's answer is not waited for any more.
  pending_responses_.erase(machine->id);
  const bool room_in_demand = plan_is_due_ && planning::is_schedulable(*machine, runtime_.now()) &&
                              machine->room().cpus >= least_waiting_cpus_;
  if (machine->has_acknowledged_token && (room_in_demand || has_start_in_flight(*machine))) {
    pending_responses_[machine->id] = std::move(answer);
    return;
  }
  send_response(*machine, std::move(answer));
}

bool Leader::has_start_in_flight(const Machine& machine) const {
  return std::any_of(machine.placements.begin(), machine.placements.end(), [&](const auto& each) {
    return may_start(each) && !journal_.is_durable(each.log_position);
  });
}

// Starts go with the answer to a report, which is never carried out late: a worker drops it after
// a few seconds, and its next report tells whether it came.
void Leader::send_response(Machine& machine, PendingResponse answer) {
  if (machine.has_acknowledged_token)
    for (auto& each : machine.placements) {
      // The journal must name the place before anything starts there.
      if (!may_start(each) || !journal_.is_durable(each.log_position)) continue;
      each.start_incarnation = answer.incarnation;
      each.start_sequence = answer.sequence;
      answer.commands.push_back(
          {Command::Op::start, each.job, each.index, each.attempt, Seconds{0}});
    }
  machine.last_response_at = runtime_.now();
  machine.has_been_answered = true;
  answer.respond({200, protocol::encode_commands(election_.token(), answer.commands)});
}

bool Leader::may_start(const Placement& placement) const {
  if (placement.phase != PlacementPhase::assigned || placement.stopping) return false;
  const auto job = cluster_state_.jobs.find(placement.job);
  // A task of a gang that runs has been started, and is gone if it is not shown.
  return job == cluster_state_.jobs.end() || !job->second.is_gang() ||
         job->second.gang.phase == cluster::GangAttempt::Phase::assembling;
}

void Leader::send_pending_response(const std::string& id) {
  const auto held = pending_responses_.find(id);
  if (held == pending_responses_.end()) return;
  PendingResponse answer = std::move(held->second);
  pending_responses_.erase(held);
  const auto machine = cluster_state_.machines.find(id);
  if (machine != cluster_state_.machines.end()) send_response(machine->second, std::move(answer));
}

void Leader::send_due_responses() {
  const SteadyTime now = runtime_.now();
  std::vector<std::string> due;
  for (const auto& [id, held] : pending_responses_) {
    const auto machine = cluster_state_.machines.find(id);
    const bool waits = machine != cluster_state_.machines.end() &&
                       (held.plan == plan_count_ || has_start_in_flight(machine->second));
    if (!waits || now >= held.until) due.push_back(id);
  }
  for (const auto& id : due) send_pending_response(id);
}

// --- passes ---

void Leader::tick() {
  runtime_.after(constants::leader_tick, [this] { tick(); });
  if (!election_.is_leader()) return;
  if (!ready_) return;
  const SteadyTime now = runtime_.now();
  if (now - last_lease_check_at_ >= constants::lease_check_interval) {
    last_lease_check_at_ = now;
    check_leases();
    fleet_.run_pass();
    rebalance_replicas();
    check_fleet_size();
  }
  if (plan_is_due_ && now >= next_plan_at_) {
    plan();
    send_due_responses();
  }
  journal_.pump();
  finalizer_.pump();
  if (!pending_responses_.empty()) send_due_responses();
}

void Leader::check_leases() {
  const SteadyTime now = runtime_.now();
  const Seconds lease = with_clock_drift(settings_.worker_lease);
  // Whoever led before us fell silent in time for every lease that it kept up to end within
  // `cancel_s` of its last renewal, which came before our election
  // (Controller::may_respond_until).
  const SteadyTime former_end = election_.elected_at() + with_clock_drift(settings_.cancel_timeout);
  for (auto& [id, machine] : cluster_state_.machines) {
    if (machine.incarnation == 0) continue;
    if (!machine.has_reported && !machine.has_been_answered && now > former_end &&
        !machine.placements.empty())
      heartbeats_.evict_all(machine, "not heard, and every former leader's answers have run out");
    machine.is_overdue =
        now - machine.last_heartbeat_at >
        constants::overdue_heartbeats * settings_.heartbeat_interval + constants::overdue_slack;
    if (now - machine.last_response_at <= lease || machine.lease_expired) continue;
    machine.lease_expired = true;
    plan_is_due_ = true;
    // Only a worker that has seen our token is sure to have dropped everyone else's answers.
    if (machine.has_acknowledged_token) {
      heartbeats_.evaluate_incarnation(machine);
      heartbeats_.evict_all(machine, "lease expired");
    }
    machine.has_reported = machine.has_acknowledged_token = false;
  }
  for (auto& [id, job] : cluster_state_.jobs) {
    if (job.is_gang()) heartbeats_.check_assembly(job);
    if (job.waiting() > 0 && !job.record.cancelled) plan_is_due_ = true;
  }
}

void Leader::check_fleet_size() {
  const double connections = settings_.sockets * constants::server_socket_share;
  const auto machines = static_cast<double>(cluster_state_.machines.size());
  if (machines <= connections || std::exchange(warned_of_size_, true)) return;
  spdlog::error(
      "sockets: {} leave {:.0f} connections for workers and users, but there are {} machines",
      settings_.sockets, connections, machines);
}

// Replicas leave a draining machine one at a time. Each is down from its stop until its start
// elsewhere, so the pause between two moves keeps that cost to a small share of their time.
void Leader::rebalance_replicas() {
  const SteadyTime now = runtime_.now();
  if (now < next_move_at_) return;
  std::size_t replicas = 0;
  Placement* next = nullptr;
  for (auto& [id, machine] : cluster_state_.machines)
    for (auto& each : machine.placements) {
      const Job* job = cluster_state_.job(each.job);
      if (job == nullptr || job->spec().kind != protocol::JobKind::service) continue;
      ++replicas;
      if (machine.draining && each.phase == PlacementPhase::running && !each.stopping) next = &each;
    }
  if (next == nullptr) return;
  const Seconds pause = constants::moving_reports * settings_.heartbeat_interval /
                        (static_cast<double>(replicas) * constants::moving_cost);
  if (pause > constants::max_moving_pause) return;
  next->stopping = true;
  next_move_at_ = now + pause;
}

void Leader::plan() {
  const SteadyTime began = runtime_.now();
  plan_is_due_ = false;
  ++plan_count_;
  const auto attempt = attempts_.next();
  if (!attempt) return election_.resign("its attempt numbers are used up", Seconds{0});
  planning::PlanningContext context;
  context.now = began;
  context.teams = &settings_.teams;
  context.weights = {constants::local_units, constants::remote_units,
                     properties_.remote_offset_units, true};
  context.heartbeat_interval = settings_.heartbeat_interval;
  context.wall_now = runtime_.wall_now();
  context.finish_aims = &settings_.finish_aims;
  if (settings_.gang_times)
    context.gang_task_replacement_window = settings_.gang_times->task_replacement_window();
  planning::Plan made = planning::make_plan(cluster_state_, context);
  log_waiting_gangs(std::move(made.waiting_gangs));
  apply_placements(made.placements, *attempt, began);
  for (const auto& each : made.preemptions) {
    Placement* placement =
        cluster_state_.machines.at(each.machine).find(each.job, each.index, each.attempt);
    heartbeats_.stop_task(*placement);
    spdlog::info("task preempted job={} index={} machine={}", each.job, each.index, each.machine);
  }
  least_waiting_cpus_ = std::numeric_limits<std::int64_t>::max();
  for (const auto& [id, job] : cluster_state_.jobs)
    if (job.waiting() > 0 && !job.record.cancelled)
      least_waiting_cpus_ = std::min(least_waiting_cpus_, job.spec().each.cpus);
  // A plan's pace follows its own cost, so that reports keep most of the processor.
  const SteadyTime ended = runtime_.now();
  next_plan_at_ = ended + std::max(constants::min_plan_interval,
                                   (ended - began) * constants::planning_pause_factor);
}

void Leader::log_waiting_gangs(std::map<std::string, planning::GangWaitReason> waits) {
  for (const auto& [id, why] : waits) {
    const auto before = waiting_gangs_.find(id);
    if (before == waiting_gangs_.end() || before->second != why)
      spdlog::info("gang waits id={} why=\"{}\"", id, planning::to_string(why));
  }
  waiting_gangs_ = std::move(waits);
}

void Leader::apply_placements(const std::vector<planning::PlannedPlacement>& placements,
                              std::uint64_t plan_attempt, SteadyTime now) {
  std::map<std::string, std::uint64_t> gang_positions;  // the last of each gang's
  for (const auto& each : placements) {
    Machine& machine = cluster_state_.machines.at(each.machine);
    Job& job = cluster_state_.jobs.at(each.job);
    if (job.is_gang()) GangTracker::on_placed(job, plan_attempt, now);
    const std::uint64_t attempt = job.is_gang() ? job.gang.number : plan_attempt;
    Placement& placed = cluster_state_.place(machine, job, attempt, now);
    placed.log_position = journal_.append(
        storage::TaskPlaced{placed.job, attempt, {{machine.id, IndexRange::single(placed.index)}}});
    if (job.is_gang()) gang_positions[job.spec().id] = placed.log_position;
    spdlog::debug("task placed job={} index={} machine={}", placed.job, placed.index, machine.id);
  }
  // No task of a gang starts before the journal names all of them: a successor finds it whole.
  for (const auto& [id, position] : gang_positions)
    cluster_state_.jobs.at(id).for_each_placement(
        [position = position](Placement& each) { each.log_position = position; });
}

}  // namespace poppystile::coordination
