/// \file
/// Times for tests, from plain numbers of seconds.
#pragma once

#include "clock.hpp"

namespace poppystile {

/// The time so many seconds after the steady clock's epoch.
inline SteadyTime steady_at(double seconds) { return SteadyTime{Seconds{seconds}}; }
/// The time so many seconds after 1970.
inline WallTime wall_at(double seconds) { return WallTime{Seconds{seconds}}; }

}  // namespace poppystile
