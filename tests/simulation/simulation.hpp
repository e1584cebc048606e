/// \file
/// A whole cluster in simulated time: controllers (the production code), state service, cloud,
/// workers, users and faults.
#pragma once

#include "simulation/cloud.hpp"
#include "simulation/controller_cluster.hpp"
#include "simulation/event_queue.hpp"
#include "simulation/fault_injector.hpp"
#include "simulation/gangs.hpp"
#include "simulation/heartbeat_network.hpp"
#include "simulation/invariant_checker.hpp"
#include "simulation/network_faults.hpp"
#include "simulation/simulated_users.hpp"
#include "simulation/simulation_settings.hpp"
#include "simulation/state_service.hpp"
#include "simulation/worker_fleet.hpp"

namespace poppystile::simulation {

/// Creates and connects the parts of a simulation. All randomness comes from the event queue, so
/// that runs with the same settings and the same events are identical.
class Simulation {
 public:
  explicit Simulation(const SimulationSettings& settings);

  /// Starts the controllers and the periodic checks. Events may be queued before the start.
  void start();

  const SimulationSettings& settings() const { return settings_; }
  EventQueue& queue() { return queue_; }
  InvariantChecker& invariants() { return invariants_; }
  Gangs& gangs() { return gangs_; }
  StateService& state_service() { return state_service_; }
  Cloud& cloud() { return cloud_; }
  ControllerCluster& controllers() { return controllers_; }
  WorkerFleet& fleet() { return fleet_; }
  HeartbeatNetwork& heartbeats() { return heartbeats_; }
  FaultInjector& faults() { return faults_; }
  SimulatedUsers& users() { return users_; }

 private:
  void check_leaders_and_cancellations();
  void check_waiting_jobs();

  SimulationSettings settings_;
  NetworkFaults network_faults_;
  EventQueue queue_;
  InvariantChecker invariants_;
  Gangs gangs_;
  StateService state_service_;
  Cloud cloud_;
  ControllerCluster controllers_;
  HeartbeatNetwork heartbeats_;
  WorkerFleet fleet_;
  FaultInjector faults_;
  SimulatedUsers users_;
};

}  // namespace poppystile::simulation
