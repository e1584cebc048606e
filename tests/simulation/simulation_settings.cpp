#include "simulation/simulation_settings.hpp"

namespace poppystile::simulation {

namespace {
constexpr double cloud_requests_per_second = 6;
}  // namespace

std::string controller_name(int number) { return "stile-" + std::to_string(number); }

const transport::Endpoint& state_service_endpoint() {
  static const transport::Endpoint endpoint{"10.2.0.1", 2379};
  return endpoint;
}

protocol::Settings controller_settings(const SimulationSettings& simulation, int number) {
  protocol::Settings out;
  out.name = controller_name(number);
  out.zone = simulation.zones[static_cast<std::size_t>(number) % simulation.zones.size()];
  out.state = state_service_endpoint();
  out.cloud = {"10.2.0.2", 8443};
  out.zones = simulation.zones;
  out.teams = simulation.teams;
  out.heartbeat_interval = simulation.heartbeat_interval;
  out.worker_lease = simulation.worker_lease;
  out.cancel_timeout = simulation.cancel_timeout;
  out.gang_times = protocol::GangTimes{simulation.gang_timing.start_timeout,
                                       simulation.gang_timing.peer_timeout};
  out.state_limits.rps = simulation.state_rps;
  out.state_limits.write_rps = simulation.state_write_rps;
  out.state_limits.txn_ops = simulation.txn_ops;
  if (simulation.next_limits)
    out.state_limits = protocol::lower_of(out.state_limits, *simulation.next_limits);
  out.cloud_rps = cloud_requests_per_second;
  out.list_lag = simulation.list_lag;
  for (int i = 0; i < simulation.controllers; ++i)
    if (i != number) out.peers.push_back({controller_name(i), "a", {"10.0.0.9", 1}});
  return out;
}

}  // namespace poppystile::simulation
