#include "coordination/leader/heartbeat_responder.hpp"

#include <algorithm>
#include <utility>

#include "constants.hpp"

namespace poppystile::coordination {

using cluster::Machine;
using cluster::Placement;
using cluster::PlacementPhase;
using protocol::Command;
using transport::Respond;

void HeartbeatResponder::respond(Machine& machine, const protocol::Heartbeat& heartbeat,
                                 std::vector<Command> commands, bool expects_placements,
                                 Respond respond) {
  PendingResponse response;
  response.respond = std::move(respond);
  response.commands = std::move(commands);
  response.incarnation = heartbeat.incarnation;
  response.sequence = heartbeat.sequence;
  response.hold_until = runtime_.now() + constants::max_response_hold;
  pending_.erase(machine.id);
  if (machine.has_acknowledged_token && (expects_placements || has_start_in_flight(machine))) {
    pending_[machine.id] = std::move(response);
    return;
  }
  send(machine, std::move(response));
}

bool HeartbeatResponder::has_start_in_flight(const Machine& machine) const {
  return std::any_of(
      machine.placements.begin(), machine.placements.end(), [&](const auto& placed_task) {
        return may_start(placed_task) && !journal_.is_durable(placed_task.log_position);
      });
}

bool HeartbeatResponder::may_start(const Placement& placement) const {
  if (placement.phase != PlacementPhase::assigned || placement.stopping) return false;
  const auto job = cluster_state_.jobs.find(placement.job);
  // All tasks of a running gang have been started before: one that is not reported has ended.
  return job == cluster_state_.jobs.end() || !job->second.is_gang() ||
         job->second.gang.phase == cluster::GangAttempt::Phase::assembling;
}

void HeartbeatResponder::send(Machine& machine, PendingResponse response) {
  const SteadyTime now = runtime_.now();
  // The worker drops the response that long after it sent the heartbeat.
  const SteadyTime effective_until =
      now + constants::worker_response_timeout * (1 + constants::clock_drift);
  if (machine.has_acknowledged_token)
    for (auto& placed_task : machine.placements) {
      // The placement must be durable in the journal before its task is started.
      if (!may_start(placed_task) || !journal_.is_durable(placed_task.log_position)) continue;
      placed_task.start_incarnation = response.incarnation;
      placed_task.start_sequence = response.sequence;
      response.commands.push_back({Command::Op::start, placed_task.job, placed_task.index,
                                   placed_task.attempt, Seconds{0}});
      machine.record_start(placed_task, now, effective_until);
    }
  machine.last_response_at = now;
  machine.has_been_answered = true;
  response.respond({200, protocol::encode_commands(election_.token(), response.commands)});
}

void HeartbeatResponder::send_pending(const std::string& id) {
  const auto pending = pending_.find(id);
  if (pending == pending_.end()) return;
  PendingResponse response = std::move(pending->second);
  pending_.erase(pending);
  const auto machine = cluster_state_.machines.find(id);
  if (machine != cluster_state_.machines.end()) send(machine->second, std::move(response));
}

void HeartbeatResponder::send_due() {
  const SteadyTime now = runtime_.now();
  std::vector<std::string> due_ids;
  for (const auto& [id, pending] : pending_) {
    const auto machine = cluster_state_.machines.find(id);
    const bool must_wait = machine != cluster_state_.machines.end() &&
                           (pending.awaits_plan || has_start_in_flight(machine->second));
    if (!must_wait || now >= pending.hold_until) due_ids.push_back(id);
  }
  for (const auto& id : due_ids) send_pending(id);
}

void HeartbeatResponder::on_planned() {
  for (auto& [id, pending] : pending_) pending.awaits_plan = false;
  send_due();
}

void HeartbeatResponder::redirect_all() {
  for (auto& [id, pending] : std::exchange(pending_, {}))
    pending.respond({421, protocol::encode_redirect("")});
}

}  // namespace poppystile::coordination
