/// \file
/// One scenario: sets up the simulated world as its file says, plays it, and judges it.
///
///   world KEY=VALUE...            seed, seeds (how many, one after the other), until, nodes,
///                                 heartbeat_interval_s, lease_s, cancel_s, rps, write_rps,
///                                 txn_ops, lose_answers, list_lag_s; gang_wait_s, gang_peer_s,
///                                 next_value_kb, next_txn_ops and
///                                 next_write_rps: limits that `lower_limits` puts into force
///   type NAME KEY=VALUE...        cpus, memory, price, spot_price, boot, zones, count, spot,
///                                 fetch, cache
///   team NAME cpus= cpus_max=
///   load CLASS KEY=VALUE...       kind, team, priority, first, every, until, tasks, run, cpus,
///                                 memory, images, gb, spot, one_zone, spread, zone, deadline,
///                                 checkpoint, save, mistaken
///   at SECONDS ACTION KEY=VALUE...    times=N every=SECONDS: more than once
///   expect NAME OP NUMBER         started, accepted, done, cancelled, on:CLASS, state_refused,
///                                 state_requests, state_changes, state_invalid, lapses,
///                                 gangs_begun, gangs_saved, gangs_failed, gangs_incomplete,
///                                 stale_releases, max_unacknowledged_starts, cancelled_starts,
///                                 mistaken_starts, machine_seconds; OP is >= or <=
///
/// A node is any, leader, follower, others (all but the leader, for cuts), all (for crashes) or a
/// number. Once the last fault is over, every accepted job must get answers again, and none may
/// wait beside room that fits it; and no class, team or class's largest jobs may be left out.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "simulation/scenario_file.hpp"
#include "simulation/simulation.hpp"

namespace poppystile::simulation {

class Scenario {
 public:
  /// `turn`: of several seeds, the one that many after the first.
  Scenario(const std::string& path, int turn);

  /// How many seeds the file asks for.
  int seeds() const { return seeds_; }
  /// Plays and prints what was broken or not met; true when nothing was.
  bool play();

 private:
  using Action = std::function<void(Scenario&, const Statement&)>;
  using Count = std::function<double(Scenario&)>;
  static const std::map<std::string, Action>& actions();
  static const std::map<std::string, Count>& counts();
  static std::map<std::string, Action> controller_actions();
  static std::map<std::string, Action> machine_actions();
  static std::map<std::string, Action> service_actions();
  static std::map<std::string, Action> user_actions();

  void read_world(const Statement& statement, SimulationSettings& out);
  void add_type(const Statement& statement);
  void add_load(const Statement& statement);
  void add_action(const Statement& statement);
  void act(const Statement& statement);
  void submit(const Statement& load);
  protocol::JobSpec make_job(const Statement& load);
  void crash(const Statement& statement);
  void cut(const Statement& statement);
  void cancel_or_resubmit(const Statement& statement);
  bool met(const Statement& expectation);

  std::vector<Statement> statements_;
  std::unique_ptr<Simulation> world_;
  double until_ = 200;
  int seeds_ = 1;
  int jobs_ = 0;
};

}  // namespace poppystile::simulation
