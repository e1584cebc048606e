/// \file
/// One scenario: sets up a simulation according to a scenario file, runs it and checks the result.
///
///   simulation KEY=VALUE...       seed, seeds (number of consecutive seeds), until, controllers,
///                                 heartbeat_interval, worker_lease, cancel_timeout, state_rps,
///                                 state_write_rps, txn_ops, lost_state_responses, list_lag,
///                                 gang_start_timeout, gang_peer_timeout; next_value_kb,
///                                 next_txn_ops, next_write_rps: limits that are enforced from
///                                 the action `lower_limits` on
///   type NAME KEY=VALUE...        cpus, memory, price, spot_price, boot, zones, count, spot,
///                                 fetch, cache
///   team NAME cpus= cpus_max=
///   load CLASS KEY=VALUE...       kind, team, priority, first, every, from, until, tasks, run,
///                                 cpus, memory, images, image_gb, spot, one_zone, spread, zone,
///                                 deadline, checkpoint, save, failing
///   at SECONDS ACTION KEY=VALUE...    times=N every=SECONDS repeat the action; the actions are in
///                                 scenario_actions.cpp
///   expect NAME OP NUMBER         the names are in scenario_expectations.cpp; OP is >= or <=
///
/// All times are in seconds. A controller is any, leader, follower, others (all but the leader,
/// only for partitions), all (only for crashes) or a number. After the last fault has ended,
/// queries for every accepted job must get responses again, and no job may wait while the machines
/// have capacity for it. No class, no team and no class's group of largest jobs may be starved (see
/// Invariant::fair_service).
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "simulation/load_generator.hpp"
#include "simulation/scenario_file.hpp"
#include "simulation/simulation.hpp"

namespace poppystile::simulation {

/// One run of a scenario file, with one of its seeds.
class Scenario {
 public:
  /// Uses the file's seed plus `seed_index`. Throws std::runtime_error if the file cannot be read.
  Scenario(const std::string& path, int seed_index);

  /// Number of seeds with which the file must be run.
  int seeds() const { return seeds_; }
  /// Runs the scenario and prints the violated invariants and unmet expectations. Returns true if
  /// there were none. Must be called once. Throws std::runtime_error for an unknown action or
  /// expectation.
  bool run();

 private:
  void add_machine_type(const Statement& statement);
  void schedule_action(const Statement& statement);
  bool check_expectation(const Statement& expectation);

  std::vector<Statement> statements_;
  double until_ = 0;  // simulated time
  int seeds_ = 1;
  std::unique_ptr<Simulation> simulation_;
  std::unique_ptr<LoadGenerator> load_generator_;
};

}  // namespace poppystile::simulation
