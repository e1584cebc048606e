#include "simulation/fault_injector.hpp"

#include <utility>
#include <vector>

namespace poppystile::simulation {

namespace {
constexpr int max_hanging_machines = 8;  // Limit for hang_machines with a set of machines.
// A controller must not be destroyed while one of its methods runs.
constexpr Seconds crash_delay{0.0001};
}  // namespace

FaultInjector::FaultInjector(EventQueue& queue, NetworkFaults& network, StateService& state_service,
                             Cloud& cloud, ControllerCluster& cluster, WorkerFleet& fleet)
    : queue_(queue),
      network_(network),
      state_service_(state_service),
      cloud_(cloud),
      cluster_(cluster),
      fleet_(fleet) {}

void FaultInjector::partition(ControllerProcess& controller, const NetworkPartition& partition,
                              Seconds duration) {
  controller.set_partition(partition);
  queue_.after(duration, [&controller] { controller.heal(); });
}

void FaultInjector::isolate_zone(const std::string& zone, bool deliver_on_heal, Seconds duration) {
  network_.isolated_zone = zone;
  NetworkPartition isolation;
  isolation.state_service = isolation.peers = isolation.users = true;
  isolation.deliver_on_heal = deliver_on_heal;
  for (const auto& controller : cluster_.processes())
    if (controller->zone() == zone) partition(*controller, isolation, duration);
  for (const auto& [machine, worker] : fleet_.workers())
    if (worker->host().zone == zone) worker->expect_lease_expiry(duration);
  queue_.after(duration, [this] { network_.isolated_zone.clear(); });
}

void FaultInjector::delay_peer_messages(Seconds delay, Seconds duration) {
  set_temporarily(queue_, network_.peer_message_delay, delay, duration);
}

void FaultInjector::hang_machines(int count, Seconds duration) {
  for (Worker* worker : fleet_.sample(count)) worker->hang(duration);
}

void FaultInjector::hang_machines(const std::set<std::string>& machines, Seconds duration) {
  int remaining = max_hanging_machines;
  for (const auto& machine : machines) {
    if (remaining-- == 0) return;
    if (Worker* worker = fleet_.find(machine)) worker->hang(duration);
  }
}

void FaultInjector::fail_machines(int count) {
  for (Worker* worker : fleet_.sample(count)) cloud_.fail(std::string(worker->host().machine));
}

void FaultInjector::fail_tasks_on_machines(int count, Seconds duration) {
  for (Worker* worker : fleet_.sample(count)) {
    worker->set_tasks_fail(true);
    queue_.after(duration, [worker] { worker->set_tasks_fail(false); });
  }
}

void FaultInjector::reclaim_spot_machines(double share, Seconds notice) {
  std::vector<std::string> machines;
  for (const auto& [machine, worker] : fleet_.workers())
    if (worker->host().spot && queue_.chance(share)) machines.push_back(machine);
  for (const auto& machine : machines) {
    if (notice > Seconds{0}) fleet_.find(machine)->give_preemption_notice(notice);
    queue_.after(notice, [this, machine] { cloud_.reclaim(machine); });
  }
}

void FaultInjector::lose_responses_to_machines(int count, Seconds duration) {
  for (Worker* worker : fleet_.sample(count)) {
    const std::string machine = worker->host().machine;
    worker->expect_lease_expiry(duration);
    network_.machines_with_lost_responses.insert(machine);
    queue_.after(duration,
                 [this, machine] { network_.machines_with_lost_responses.erase(machine); });
  }
}

void FaultInjector::block_heartbeats_of_machines(int count, Seconds duration) {
  for (Worker* worker : fleet_.sample(count)) worker->block_heartbeats(duration);
}

void FaultInjector::duplicate_heartbeats(const Duplication& duplication, Seconds duration) {
  set_temporarily(queue_, network_.duplicated_heartbeats, duplication, duration);
}

void FaultInjector::duplicate_heartbeat_responses(const Duplication& duplication,
                                                  Seconds duration) {
  set_temporarily(queue_, network_.duplicated_heartbeat_responses, duplication, duration);
}

void FaultInjector::delay_heartbeat_responses(const AddedLatency& latency, Seconds duration) {
  set_temporarily(queue_, network_.delayed_heartbeat_responses, latency, duration);
}

void FaultInjector::state_outage(Seconds duration) {
  state_service_.set_down(true);
  queue_.after(duration, [this] { state_service_.set_down(false); });
}

void FaultInjector::lower_state_limits(const protocol::StateLimits& limits) {
  state_service_.set_limits(limits.write_rps, limits.txn_ops, limits.value_kb);
}

void FaultInjector::delay_writes(double share, Seconds duration) {
  set_temporarily(queue_, network_.delayed_writes, share, duration);
}

void FaultInjector::delay_state_responses(const AddedLatency& latency, Seconds duration) {
  set_temporarily(queue_, network_.delayed_state_responses, latency, duration);
}

void FaultInjector::lose_state_responses(double share, Seconds duration) {
  set_temporarily(queue_, network_.lost_state_responses, share, duration);
}

void FaultInjector::duplicate_calls(const Duplication& duplication, Seconds duration) {
  set_temporarily(queue_, network_.duplicated_calls, duplication, duration);
}

void FaultInjector::cloud_outage(Seconds duration) {
  cloud_.set_down(true);
  queue_.after(duration, [this] { cloud_.set_down(false); });
}

void FaultInjector::boot_failures(double share, Seconds duration) {
  cloud_.set_boot_failures(share);
  queue_.after(duration, [this] { cloud_.set_boot_failures(0); });
}

void FaultInjector::cancellation_confirmed(ControllerProcess& confirming_controller) {
  if (!crash_on_cancellation_) return;
  const Seconds restart_after = *std::exchange(crash_on_cancellation_, std::nullopt);
  queue_.after(crash_delay, [&confirming_controller, restart_after] {
    confirming_controller.crash(restart_after);
  });
}

bool FaultInjector::awaits_leader() const {
  return crash_next_leader_ || pause_next_leader_ || partition_next_leader_;
}

void FaultInjector::check_for_leader() {
  if (ControllerProcess* leader = cluster_.leader(); leader != nullptr && crash_next_leader_)
    leader->crash(*std::exchange(crash_next_leader_, std::nullopt));
  if (pause_next_leader_)
    for (const auto& controller : cluster_.processes())
      if (controller->is_leader() && !controller->is_paused()) {
        controller->pause(*std::exchange(pause_next_leader_, std::nullopt));
        break;
      }
  if (ControllerProcess* leader = cluster_.leader(); leader != nullptr && partition_next_leader_) {
    const PendingPartition pending = *std::exchange(partition_next_leader_, std::nullopt);
    partition(*leader, pending.partition, pending.duration);
  }
}

}  // namespace poppystile::simulation
