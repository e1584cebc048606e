#include "coordination/leader/heartbeat_handler.hpp"

#include <spdlog/spdlog.h>

#include <utility>

#include "constants.hpp"
#include "storage/journal_entry.hpp"

namespace poppystile::coordination {

using cluster::Job;
using cluster::Machine;
using cluster::Placement;
using protocol::Command;
using protocol::TaskState;

HeartbeatHandler::HeartbeatHandler(const transport::Runtime& runtime,
                                   cluster::ClusterState& cluster_state,
                                   const LeaderElection& election, JournalWriter& journal,
                                   FleetManager& fleet, TaskReconciler& reconciler,
                                   const MachineHealth& health, const TaskStopper& stopper,
                                   const protocol::Settings& settings,
                                   std::function<void()> request_plan)
    : runtime_(runtime),
      cluster_state_(cluster_state),
      election_(election),
      journal_(journal),
      fleet_(fleet),
      reconciler_(reconciler),
      health_(health),
      stopper_(stopper),
      settings_(settings),
      request_plan_(std::move(request_plan)) {}

Machine* HeartbeatHandler::find_or_adopt_machine(const protocol::Heartbeat& heartbeat) {
  const auto it = cluster_state_.machines.find(heartbeat.machine);
  if (it != cluster_state_.machines.end()) return &it->second;
  // A delayed copy of a heartbeat must not register a removed machine again. So a machine is
  // registered only if its worker has seen this leader's token and this leader has not released it.
  // Any other worker first receives the token in the response.
  if (fleet_.has_released(heartbeat.machine) || heartbeat.token != election_.token())
    return nullptr;
  Machine machine;
  machine.id = heartbeat.machine;
  machine.type = heartbeat.type;
  machine.zone = heartbeat.zone;
  machine.spot = heartbeat.spot;
  machine.rented_at = runtime_.wall_now();
  spdlog::info("machine adopted from its heartbeat id={}", machine.id);
  return fleet_.admit(std::move(machine));
}

bool HeartbeatHandler::is_newer(const protocol::Heartbeat& heartbeat, const Machine& machine) {
  return std::make_pair(heartbeat.incarnation, heartbeat.sequence) >
         std::make_pair(machine.incarnation, machine.sequence);
}

std::vector<Command> HeartbeatHandler::process(Machine& machine,
                                               const protocol::Heartbeat& heartbeat) {
  if (machine.size.cpus == 0) fleet_.apply_machine_type(machine);
  if (heartbeat.incarnation > machine.incarnation)
    begin_incarnation(machine, heartbeat.incarnation);
  update_machine(machine, heartbeat);
  health_.evaluate_responsiveness(machine);
  if (heartbeat.preemption_notice) prepare_for_preemption(machine, *heartbeat.preemption_notice);
  reconciler_.reconcile(machine, heartbeat);
  std::vector<Command> commands = commands_for(machine, heartbeat);
  erase_forgotten_placements(machine, heartbeat.sequence);
  return commands;
}

void HeartbeatHandler::begin_incarnation(Machine& machine, std::uint64_t incarnation) {
  const SteadyTime now = runtime_.now();
  if (machine.incarnation != 0) {
    health_.evaluate_incarnation(machine);
    // A worker kills all its tasks when its incarnation ends.
    reconciler_.evict_all(machine, "its worker began a new incarnation");
    if (machine.has_acknowledged_token &&
        now - machine.last_response_at <
            settings_.worker_lease - constants::worker_response_timeout)
      health_.mark_unresponsive(machine, "lease expired although a response was sent in time");
  }
  machine.incarnation = incarnation;
  machine.incarnation_started_at = now;
  journal_.append(storage::IncarnationStarted{machine.id, incarnation});
}

void HeartbeatHandler::update_machine(Machine& machine, const protocol::Heartbeat& heartbeat) {
  const SteadyTime now = runtime_.now();
  machine.sequence = heartbeat.sequence;
  if (!machine.has_reported) {
    request_plan_();
    machine.unresponsive_since = now;
  }
  machine.has_reported = true;
  machine.last_heartbeat_at = now;
  machine.is_overdue = machine.lease_expired = false;
  const bool has_acknowledged_token = heartbeat.token == election_.token();
  if (!machine.has_acknowledged_token && has_acknowledged_token) request_plan_();
  machine.has_acknowledged_token = has_acknowledged_token;
}

// Stops the tasks of a machine that will be preempted, early enough that they are proven to be off
// the machine before it disappears. Services are stopped at once: they lose no progress, and so
// start sooner on another machine.
void HeartbeatHandler::prepare_for_preemption(Machine& machine, Seconds time_left) {
  if (!std::exchange(machine.preemption_noticed, true)) {
    spdlog::info("machine preemption notice id={} in_s={}", machine.id, time_left.count());
    request_plan_();
  }
  for (auto& placed_task : machine.placements) {
    const Job* job = cluster_state_.job(placed_task.job);
    const bool is_service = job != nullptr && job->spec().kind == protocol::JobKind::service;
    const Seconds needed =
        constants::preemption_stop_heartbeats * settings_.heartbeat_interval +
        (job != nullptr && job->is_gang() ? stopper_.grace_period(job) : Seconds{0});
    if (is_service || time_left <= needed) stopper_.stop_task(placed_task);
  }
}

std::vector<Command> HeartbeatHandler::commands_for(Machine& machine,
                                                    const protocol::Heartbeat& heartbeat) const {
  std::vector<Command> commands;
  for (const auto& reported : heartbeat.tasks) {
    const Placement* placement = machine.find(reported.job, reported.index, reported.attempt);
    Command command{Command::Op::stop, reported.job, reported.index, reported.attempt, Seconds{0}};
    if (reported.state == TaskState::exited) {
      // The worker keeps a finished task until its journal entry is durable.
      if (placement != nullptr && placement->finished &&
          !journal_.is_durable(placement->log_position))
        continue;
      // A worker that has forgotten an attempt would execute a copy of its start command.
      if (machine.may_start_again(reported.job, reported.index, reported.attempt, runtime_.now()))
        continue;
      command.op = Command::Op::forget;
    } else if (placement != nullptr) {
      if (!placement->stopping) continue;
      command.grace = stopper_.grace_period(cluster_state_.job(placement->job));
      if (command.grace > Seconds{0} && reported.state == TaskState::saving) continue;
    }
    commands.push_back(std::move(command));
  }
  return commands;
}

// The worker has executed the forget command for a finished task that it no longer reports and
// whose journal entry is durable, so the placement is not needed any more.
void HeartbeatHandler::erase_forgotten_placements(Machine& machine, std::uint64_t sequence) const {
  std::erase_if(machine.placements, [&](const Placement& placed_task) {
    return placed_task.finished && placed_task.last_reported_sequence != sequence &&
           journal_.is_durable(placed_task.log_position);
  });
}

}  // namespace poppystile::coordination
