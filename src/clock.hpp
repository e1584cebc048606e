/// \file
/// Durations, and one time type for each of the two clocks, so that mixing them does not compile.
#pragma once

#include <chrono>

namespace poppystile {

/// A span of time in seconds, with fractions: the unit of the settings and of every message.
using Seconds = std::chrono::duration<double>;

/// Steady time of this process; only differences mean anything.
struct SteadyClock {
  using rep = Seconds::rep;
  using period = Seconds::period;
  using duration = Seconds;
  using time_point = std::chrono::time_point<SteadyClock>;
  static constexpr bool is_steady = true;
};

/// Time of day since 1970, comparable with other machines' up to `Settings::max_clock_offset`.
struct WallClock {
  using rep = Seconds::rep;
  using period = Seconds::period;
  using duration = Seconds;
  using time_point = std::chrono::time_point<WallClock>;
  static constexpr bool is_steady = false;
};

/// A default-constructed time stands for "never".
using SteadyTime = SteadyClock::time_point;
using WallTime = WallClock::time_point;

/// Seconds since the clock's epoch, as messages and records carry them.
template <typename Clock>
double to_unix_seconds(std::chrono::time_point<Clock, Seconds> time) {
  return time.time_since_epoch().count();
}

}  // namespace poppystile
