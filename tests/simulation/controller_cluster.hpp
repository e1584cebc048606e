/// \file
/// All controllers of a simulation.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "simulation/controller_process.hpp"
#include "simulation/simulation_settings.hpp"

namespace poppystile::simulation {

/// Owns the controller processes and selects them by name, role or number.
class ControllerCluster {
 public:
  explicit ControllerCluster(const SimulatedNetwork& network) : network_(network) {}

  /// Creates and starts all controllers. Must be called once.
  void start(const SimulationSettings& settings);

  const std::vector<std::unique_ptr<ControllerProcess>>& processes() const { return processes_; }
  /// Returns the controller with this name, or null if there is none.
  ControllerProcess* find(const std::string& name) const;
  /// Returns the first controller that considers itself the leader, or null if there is none.
  ControllerProcess* leader() const;
  /// Returns the first running controller that is not a leader, or null if there is none.
  ControllerProcess* follower() const;
  ControllerProcess& random() const;
  /// The running controllers that are not partitioned from the users.
  std::vector<ControllerProcess*> reachable_by_users() const;
  /// `selector` is `any`, `leader`, `follower` or a controller's number. Returns a random
  /// controller for `any`, and if there is no leader or no follower.
  ControllerProcess& select(const std::string& selector) const;
  /// Whether some controller is leader under a fencing token higher than `token`.
  bool has_leader_above(std::uint64_t token) const;
  /// Number of release requests sent by controllers that had already been replaced as leader.
  std::uint64_t stale_releases() const;

 private:
  SimulatedNetwork network_;
  std::vector<std::unique_ptr<ControllerProcess>> processes_;
};

}  // namespace poppystile::simulation
