/// \file
/// Creates the jobs of a scenario's `load` statements and submits them through the simulated users.
#pragma once

#include "protocol/submission.hpp"
#include "simulation/scenario_file.hpp"
#include "simulation/simulation.hpp"

namespace poppystile::simulation {

/// Schedules submissions. All loads of a scenario share one sequence of job ids.
class LoadGenerator {
 public:
  /// `until` is the simulated time at which a load without an `until` value ends.
  LoadGenerator(Simulation& simulation, double until) : simulation_(simulation), until_(until) {}

  /// Queues all submissions of one `load` statement.
  void schedule(const Statement& load);

 private:
  void submit(const Statement& load);
  protocol::JobSpec make_job(const Statement& load);
  std::string next_job_id();

  Simulation& simulation_;
  double until_;
  int job_count_ = 0;
};

}  // namespace poppystile::simulation
