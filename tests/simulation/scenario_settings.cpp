#include "simulation/scenario_settings.hpp"

namespace poppystile::simulation {

namespace {

constexpr double milli = 1000;  // converts cores to millicores and gigabytes to megabytes

void read_simulation(const Statement& statement, SimulationSettings& out) {
  out.seed = static_cast<std::uint64_t>(statement.number("seed", 1));
  out.controllers = statement.count("controllers", 3);
  out.heartbeat_interval = statement.seconds("heartbeat_interval", 1);
  out.worker_lease = statement.seconds("worker_lease", 10);
  out.cancel_timeout = statement.seconds("cancel_timeout", 35);
  out.state_rps = statement.number("state_rps", 250);
  out.state_write_rps = statement.number("state_write_rps", 40);
  out.txn_ops = statement.count("txn_ops", 32);
  if (statement.values.contains("next_value_kb"))
    out.next_limits = {out.state_rps, statement.number("next_write_rps", 28),
                       statement.number("next_value_kb", 2), statement.count("next_txn_ops", 8)};
  out.lost_state_responses = statement.number("lost_state_responses", 0);
  out.list_lag = statement.seconds("list_lag", 3);
  out.gang_timing = {statement.seconds("gang_start_timeout", 40),
                     statement.seconds("gang_peer_timeout", 6)};
}

protocol::TeamSettings read_team(const Statement& statement) {
  protocol::TeamSettings team;
  team.name = statement.words.at(1);
  team.cpus = statement.number("cpus", 0);
  team.cpus_max = statement.number("cpus_max", 0);
  return team;
}

}  // namespace

SimulationSettings read_settings(const std::vector<Statement>& statements) {
  SimulationSettings out;
  for (const auto& statement : statements) {
    if (statement.words[0] == "simulation") read_simulation(statement, out);
    if (statement.words[0] == "team") out.teams.push_back(read_team(statement));
  }
  return out;
}

protocol::MachineType read_machine_type(const Statement& statement) {
  protocol::MachineType type;
  type.name = statement.words.at(1);
  type.size = {static_cast<std::int64_t>(statement.number("cpus", 16) * milli), 0,
               static_cast<std::int64_t>(statement.number("memory", 64) * milli)};
  type.cache_gb = statement.number("cache", 50);
  type.fetch_gb_per_s = statement.number("fetch", 0.5);
  type.price = statement.number("price", 1);
  type.spot_price = statement.number("spot_price", 0.3);
  type.boot_time = statement.seconds("boot", 20);
  type.zones = split(statement.text("zones", "a,b"), ',');
  return type;
}

}  // namespace poppystile::simulation
