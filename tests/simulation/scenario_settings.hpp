/// \file
/// Reads the statements of a scenario that set up the simulation.
#pragma once

#include <vector>

#include "protocol/cloud_messages.hpp"
#include "simulation/scenario_file.hpp"
#include "simulation/simulation_settings.hpp"

namespace poppystile::simulation {

/// From the statements `simulation` and `team`; what they leave out has a default.
SimulationSettings read_settings(const std::vector<Statement>& statements);
/// From a statement `type`.
protocol::MachineType read_machine_type(const Statement& statement);

}  // namespace poppystile::simulation
