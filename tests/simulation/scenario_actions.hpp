/// \file
/// The actions of a scenario's `at` statements: faults and users' requests.
#pragma once

#include "simulation/scenario_file.hpp"
#include "simulation/simulation.hpp"

namespace poppystile::simulation {

/// Performs the action of an `at` statement now. Throws std::runtime_error if the action is
/// unknown.
void perform_action(Simulation& simulation, const Statement& statement);

}  // namespace poppystile::simulation
