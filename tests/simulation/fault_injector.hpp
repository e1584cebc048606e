/// \file
/// Injects faults into a running simulation and ends them when their duration has passed.
#pragma once

#include <optional>
#include <set>
#include <string>

#include "protocol/settings.hpp"
#include "simulation/cloud.hpp"
#include "simulation/controller_cluster.hpp"
#include "simulation/event_queue.hpp"
#include "simulation/network_faults.hpp"
#include "simulation/state_service.hpp"
#include "simulation/worker_fleet.hpp"

namespace poppystile::simulation {

/// Injects the faults of a simulation. A fault with a `duration` begins at once. Intervals of the
/// same kind of fault must neither overlap nor touch, since the end of one would end the next too.
class FaultInjector {
 public:
  FaultInjector(EventQueue& queue, NetworkFaults& network, StateService& state_service,
                Cloud& cloud, ControllerCluster& cluster, WorkerFleet& fleet);

  // Controllers and the network between them.

  void partition(ControllerProcess& controller, const NetworkPartition& partition,
                 Seconds duration);
  /// Interrupts all links across the border of the zone. Controllers in the zone lose the state
  /// service, their peers and the users; workers reach only controllers on their side of the
  /// border.
  void isolate_zone(const std::string& zone, bool deliver_on_heal, Seconds duration);
  void delay_peer_messages(Seconds delay, Seconds duration);
  /// The next controller that confirms a cancellation to a user crashes immediately afterwards.
  void crash_on_cancellation(Seconds restart_after) { crash_on_cancellation_ = restart_after; }
  /// The next controller that is elected leader crashes before it has replayed the journal.
  void crash_next_leader(Seconds restart_after) { crash_next_leader_ = restart_after; }
  /// Like crash_next_leader, but pauses the process.
  void pause_next_leader(Seconds duration) { pause_next_leader_ = duration; }
  /// Like crash_next_leader, but partitions the controller.
  void partition_next_leader(const NetworkPartition& partition, Seconds duration) {
    partition_next_leader_ = PendingPartition{partition, duration};
  }

  // Machines, and the network between them and the controllers.

  void hang_machines(int count, Seconds duration);
  /// Hangs at most the first eight of these machines.
  void hang_machines(const std::set<std::string>& machines, Seconds duration);
  void fail_machines(int count);
  /// Every task that starts on `count` random machines fails.
  void fail_tasks_on_machines(int count, Seconds duration);
  /// The cloud reclaims each spot machine with the probability `share`: `notice` after the machine
  /// has got a preemption notice, or at once without one if `notice` is zero.
  void reclaim_spot_machines(double share, Seconds notice);
  /// Heartbeats of `count` random machines arrive, but their responses are lost.
  void lose_responses_to_machines(int count, Seconds duration);
  /// Heartbeats of `count` random machines reach no controller.
  void block_heartbeats_of_machines(int count, Seconds duration);
  void duplicate_heartbeats(const Duplication& duplication, Seconds duration);
  void duplicate_heartbeat_responses(const Duplication& duplication, Seconds duration);
  void delay_heartbeat_responses(const AddedLatency& latency, Seconds duration);

  // State service and cloud.

  void state_outage(Seconds duration);
  /// Makes the state service enforce these limits (`state.next` in the settings) for the rest of
  /// the simulation.
  void lower_state_limits(const protocol::StateLimits& limits);
  void delay_writes(double share, Seconds duration);
  void delay_state_responses(const AddedLatency& latency, Seconds duration);
  void lose_state_responses(double share, Seconds duration);
  /// Calls of controllers, and users' submissions and cancellations, are executed a second time.
  void duplicate_calls(const Duplication& duplication, Seconds duration);
  void cloud_outage(Seconds duration);
  /// Each machine rented during this time fails to boot with the probability `share`.
  void boot_failures(double share, Seconds duration);

  /// Must be called when a controller has confirmed a cancellation to a user.
  void cancellation_confirmed(ControllerProcess& confirming_controller);
  /// Whether a fault waits for the next leader. If so, `check_for_leader` must be called often
  /// enough to find the leader before it has replayed the journal.
  bool awaits_leader() const;
  /// Applies the faults that wait for the next leader, if some controller is leader now.
  void check_for_leader();

 private:
  struct PendingPartition {
    NetworkPartition partition;
    Seconds duration{0};
  };

  EventQueue& queue_;
  NetworkFaults& network_;
  StateService& state_service_;
  Cloud& cloud_;
  ControllerCluster& cluster_;
  WorkerFleet& fleet_;
  std::optional<Seconds> crash_on_cancellation_;
  std::optional<Seconds> crash_next_leader_;
  std::optional<Seconds> pause_next_leader_;
  std::optional<PendingPartition> partition_next_leader_;
};

}  // namespace poppystile::simulation
