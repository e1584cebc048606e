/// \file
/// One scenario: sets up a simulation as its file says, plays it, and checks the result.
///
///   simulation KEY=VALUE...       seed, seeds (how many, one after the other), until, controllers,
///                                 heartbeat_interval, worker_lease, cancel_timeout, state_rps,
///                                 state_write_rps, txn_ops, lost_state_responses, list_lag,
///                                 gang_start_timeout, gang_peer_timeout; next_value_kb,
///                                 next_txn_ops, next_write_rps: limits that `lower_limits` puts
///                                 into force
///   type NAME KEY=VALUE...        cpus, memory, price, spot_price, boot, zones, count, spot,
///                                 fetch, cache
///   team NAME cpus= cpus_max=
///   load CLASS KEY=VALUE...       kind, team, priority, first, every, from, until, tasks, run,
///                                 cpus, memory, images, image_gb, spot, one_zone, spread, zone,
///                                 deadline, checkpoint, save, failing
///   at SECONDS ACTION KEY=VALUE...    times=N every=SECONDS: more than once; the actions are in
///                                 scenario_actions.cpp
///   expect NAME OP NUMBER         the names are in scenario_expectations.cpp; OP is >= or <=
///
/// All times are in seconds. A controller is any, leader, follower, others (all but the leader, for
/// partitions), all (for crashes) or a number. Once the last fault is over, every accepted job must
/// get responses again, and none may wait beside room that fits it; and no class, team or class's
/// largest jobs may be left out.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "simulation/load_generator.hpp"
#include "simulation/scenario_file.hpp"
#include "simulation/simulation.hpp"

namespace poppystile::simulation {

/// A scenario file with one of its seeds.
class Scenario {
 public:
  /// `seed_index`: the seed is so many above the file's. Throws std::runtime_error when the file
  /// cannot be read.
  Scenario(const std::string& path, int seed_index);

  /// How many seeds the file asks for.
  int seeds() const { return seeds_; }
  /// Plays the scenario, and prints violations and expectations that were not met. True when there
  /// were none. To be called once. Throws std::runtime_error for an unknown action or expectation.
  bool play();

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
