/// \file
/// All controllers of a simulation.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "simulation/controller_process.hpp"
#include "simulation/simulation_settings.hpp"

namespace poppystile::simulation {

/// Owns the controller processes and finds the one that a caller means.
class ControllerCluster {
 public:
  explicit ControllerCluster(const SimulatedNetwork& network) : network_(network) {}

  /// Creates and starts all controllers. To be called once.
  void start(const SimulationSettings& settings);

  const std::vector<std::unique_ptr<ControllerProcess>>& processes() const { return processes_; }
  /// Null when no controller has this name.
  ControllerProcess* find(const std::string& name) const;
  /// The first that believes to lead; null when none does.
  ControllerProcess* leader() const;
  /// The first that runs and does not lead; null when there is none.
  ControllerProcess* follower() const;
  ControllerProcess& random() const;
  /// Those that run and that users reach.
  std::vector<ControllerProcess*> reachable_by_users() const;
  /// `selector`: any, leader, follower or a number. Any when no controller fits.
  ControllerProcess& select(const std::string& selector) const;
  /// Whether some controller leads under a higher token.
  bool has_leader_above(std::uint64_t token) const;
  /// Releases of machines asked for by controllers that had been replaced as leader.
  std::uint64_t stale_releases() const;

 private:
  SimulatedNetwork network_;
  std::vector<std::unique_ptr<ControllerProcess>> processes_;
};

}  // namespace poppystile::simulation
