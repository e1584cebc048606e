/// \file
/// Reads the statements of a scenario that configure the simulation.
#pragma once

#include <vector>

#include "protocol/cloud_messages.hpp"
#include "simulation/scenario_file.hpp"
#include "simulation/simulation_settings.hpp"

namespace poppystile::simulation {

/// Reads the `simulation` and `team` statements. A missing value gets its default.
SimulationSettings read_settings(const std::vector<Statement>& statements);
/// Reads a `type` statement. A missing value gets its default.
protocol::MachineType read_machine_type(const Statement& statement);

}  // namespace poppystile::simulation
