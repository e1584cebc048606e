/// \file
/// Times for tests, from plain numbers of seconds.
#pragma once

#include "clock.hpp"

namespace poppystile {

inline SteadyTime steady_at(double seconds) { return SteadyTime{Seconds{seconds}}; }
inline WallTime wall_at(double seconds) { return WallTime{Seconds{seconds}}; }

}  // namespace poppystile
