/// \file
/// A runtime whose time is set by the test, for classes that only read the time.
#pragma once

#include <functional>

#include "transport/event_loop.hpp"

namespace poppystile::coordination {

/// Steady and wall time are both `elapsed` seconds after their epochs; timers never fire.
class FakeClock : public transport::Runtime {
 public:
  SteadyTime now() const override { return SteadyTime{elapsed}; }
  WallTime wall_now() const override { return WallTime{elapsed}; }
  void after(Seconds, std::function<void()>) override {}

  Seconds elapsed{1000};
};

}  // namespace poppystile::coordination
