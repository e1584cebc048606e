/// \file
/// Durations, and one time type for each of the two clocks, so that mixing them does not compile.
#pragma once

#include <chrono>

namespace poppystile {

/// A duration in seconds, with fractions: the unit of the settings and of all messages.
using Seconds = std::chrono::duration<double>;

/// Monotonic time of this process. Only differences between two times are meaningful.
struct SteadyClock {
  using rep = Seconds::rep;
  using period = Seconds::period;
  using duration = Seconds;
  using time_point = std::chrono::time_point<SteadyClock>;
  static constexpr bool is_steady = true;
};

/// Time since the Unix epoch. Clocks of different machines differ by at most
/// `Settings::max_clock_offset`.
struct WallClock {
  using rep = Seconds::rep;
  using period = Seconds::period;
  using duration = Seconds;
  using time_point = std::chrono::time_point<WallClock>;
  static constexpr bool is_steady = false;
};

/// A default-constructed time means "never".
using SteadyTime = SteadyClock::time_point;
using WallTime = WallClock::time_point;

/// Seconds since the clock's epoch, the form of times in messages and records.
template <typename Clock>
double to_unix_seconds(std::chrono::time_point<Clock, Seconds> time) {
  return time.time_since_epoch().count();
}

}  // namespace poppystile
