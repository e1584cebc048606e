/// \file
/// The measures that a scenario's `expect` statements refer to.
#pragma once

#include <string>

#include "simulation/simulation.hpp"

namespace poppystile::simulation {

/// Returns the value of the measure with this name after a simulation has run. Throws
/// std::runtime_error if the name is unknown.
double measure(Simulation& simulation, const std::string& name);

}  // namespace poppystile::simulation
