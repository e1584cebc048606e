/// \file
/// Puts faults into a running simulation, and takes them away when their time is over.
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

/// The faults of a simulation. A fault with a `duration` begins at once; intervals of the same kind
/// must neither overlap nor touch, since the end of one would undo the next.
class FaultInjector {
 public:
  FaultInjector(EventQueue& queue, NetworkFaults& network, StateService& state_service,
                Cloud& cloud, ControllerCluster& cluster, WorkerFleet& fleet);

  // Controllers and the network between them.

  void partition(ControllerProcess& controller, const NetworkPartition& partition,
                 Seconds duration);
  /// Controllers and workers in the zone reach only what is in it.
  void isolate_zone(const std::string& zone, bool deliver_on_heal, Seconds duration);
  void delay_peer_messages(Seconds delay, Seconds duration);
  /// The next controller that confirms a cancellation to a user crashes right after.
  void crash_on_cancellation(Seconds restart_after) { crash_on_cancellation_ = restart_after; }
  /// The next controller that is elected crashes before it has read its predecessors' records.
  void crash_next_leader(Seconds restart_after) { crash_next_leader_ = restart_after; }
  /// As crash_next_leader, but its process is paused.
  void pause_next_leader(Seconds duration) { pause_next_leader_ = duration; }
  /// As crash_next_leader, but it is partitioned.
  void partition_next_leader(const NetworkPartition& partition, Seconds duration) {
    partition_next_leader_ = PendingPartition{partition, duration};
  }

  // Machines, and the network between them and the controllers.

  void hang_machines(int count, Seconds duration);
  /// Hangs at most eight of these machines.
  void hang_machines(const std::set<std::string>& machines, Seconds duration);
  void fail_machines(int count);
  /// Every task on these machines fails.
  void fail_tasks_on_machines(int count, Seconds duration);
  /// The cloud takes this share of the spot machines back, after a notice unless it is zero.
  void reclaim_spot_machines(double share, Seconds notice);
  /// Heartbeats of these machines arrive, but they get no response.
  void lose_responses_to_machines(int count, Seconds duration);
  /// These machines reach no controller.
  void block_heartbeats_of_machines(int count, Seconds duration);
  void duplicate_heartbeats(const Duplication& duplication, Seconds duration);
  void delay_heartbeat_responses(const AddedLatency& latency, Seconds duration);

  // State service and cloud.

  void state_outage(Seconds duration);
  /// Puts the limits of the settings' `state.next` into force for good.
  void lower_state_limits(const protocol::StateLimits& limits);
  void delay_writes(double share, Seconds duration);
  void delay_state_responses(const AddedLatency& latency, Seconds duration);
  void lose_state_responses(double share, Seconds duration);
  /// Calls that were carried out, of controllers and of users, are carried out once more.
  void duplicate_calls(const Duplication& duplication, Seconds duration);
  void cloud_outage(Seconds duration);
  /// This share of the machines rented meanwhile never boots.
  void boot_failures(double share, Seconds duration);

  /// To be called when a controller has confirmed a cancellation to a user.
  void cancellation_confirmed(ControllerProcess& confirming_controller);
  /// Whether a fault waits for the next leader: then `check_for_leader` is to be called often.
  bool awaits_leader() const;
  /// Applies the faults that wait for the next leader, if there is one.
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
