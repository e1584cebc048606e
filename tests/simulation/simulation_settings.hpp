/// \file
/// What a simulation is set up with.
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
  /// Of the settings' `state.next`; the controllers know them from the start.
  std::optional<protocol::StateLimits> next_limits;
  /// How far the cloud's list of machines lags behind.
  Seconds list_lag{3};
  /// Share of the state service's responses that never arrive.
  double lost_state_responses = 0;
  GangTiming gang_timing;
  std::vector<std::string> zones = {"a", "b"};
  std::vector<protocol::TeamSettings> teams;
};

/// The name of the controller with this number, as workers and peers know it.
std::string controller_name(int number);
/// The settings file's content for the controller with this number.
protocol::Settings controller_settings(const SimulationSettings& simulation, int number);
/// Where the controllers find the state service; every other call goes to the cloud.
const transport::Endpoint& state_service_endpoint();

}  // namespace poppystile::simulation
