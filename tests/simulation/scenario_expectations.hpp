/// \file
/// What the `expect` statements of a scenario can measure.
#pragma once

#include <string>

#include "simulation/simulation.hpp"

namespace poppystile::simulation {

/// The value of this name in a simulation that has been played. Throws std::runtime_error for an
/// unknown name.
double measure(Simulation& simulation, const std::string& name);

}  // namespace poppystile::simulation
