/// \file
/// Transmits workers' heartbeats to controllers, and the responses back.
#pragma once

#include <cstdint>
#include <string>

#include "simulation/controller_cluster.hpp"
#include "simulation/network_faults.hpp"
#include "simulation/worker.hpp"

namespace poppystile::simulation {

/// The network between workers and controllers, with the current faults.
class HeartbeatNetwork {
 public:
  HeartbeatNetwork(EventQueue& queue, const NetworkFaults& faults, ControllerCluster& cluster)
      : queue_(queue), faults_(faults), cluster_(cluster) {}

  /// Sends a heartbeat to the controller with this name. `on_response` runs once, with status 0 if
  /// the controller is not running; it never runs if the heartbeat or its response is lost.
  void send(const std::string& controller, const Worker& from, const std::string& body,
            Worker::OnResponse on_response);
  /// Number of lost responses that contained a command to start a task.
  std::uint64_t lost_start_commands() const { return lost_start_commands_; }

 private:
  void duplicate(const std::string& body);
  void transmit(ControllerProcess& to, const std::string& body,
                const Worker::OnResponse& on_response);
  Worker::OnResponse with_response_faults(const std::string& machine,
                                          Worker::OnResponse on_response);

  EventQueue& queue_;
  const NetworkFaults& faults_;
  ControllerCluster& cluster_;
  std::uint64_t lost_start_commands_ = 0;
};

}  // namespace poppystile::simulation
