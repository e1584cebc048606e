/// \file
/// Makes clock times for tests from numbers of seconds.
#pragma once

#include "clock.hpp"

namespace poppystile {

/// The time `seconds` after the steady clock's epoch.
inline SteadyTime steady_at(double seconds) { return SteadyTime{Seconds{seconds}}; }
/// The time `seconds` after the Unix epoch.
inline WallTime wall_at(double seconds) { return WallTime{Seconds{seconds}}; }

}  // namespace poppystile
