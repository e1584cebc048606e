/// \file
/// The settings of a simulation, and the controllers' settings derived from them.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "clock.hpp"
#include "protocol/settings.hpp"
#include "simulation/gangs.hpp"

namespace poppystile::simulation {

/// The size, timing and limits of a simulated cluster.
struct SimulationSettings {
  int controllers = 3;
  std::uint64_t seed = 1;
  Seconds heartbeat_interval{1};
  Seconds worker_lease{10};
  Seconds cancel_timeout{35};
  double state_rps = 250;
  double state_write_rps = 40;
  int txn_ops = 32;
  /// The limits under `state.next` in the controllers' settings. Controllers keep to them from the
  /// start of the simulation; the state service enforces them from the action `lower_limits` on.
  std::optional<protocol::StateLimits> next_limits;
  /// Lag of the cloud's machine lists. A list is between half and twice this old.
  Seconds list_lag{3};
  /// Fraction of the state service's responses that are lost.
  double lost_state_responses = 0;
  GangTiming gang_timing;
  std::vector<std::string> zones = {"a", "b"};
  std::vector<protocol::TeamSettings> teams;
};

/// The name of the controller with this number in the settings of workers and peers.
std::string controller_name(int number);
/// The settings of the controller with this number.
protocol::Settings controller_settings(const SimulationSettings& simulation, int number);
/// The address of the state service. Controllers' calls to any other address go to the cloud.
const transport::Endpoint& state_service_endpoint();

}  // namespace poppystile::simulation
