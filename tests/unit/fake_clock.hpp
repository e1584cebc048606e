/// \file
/// Clocks that a test sets by hand, for classes that only read the time.
#pragma once

#include <functional>

#include "transport/event_loop.hpp"

namespace poppystile::coordination {

/// Both clocks show `elapsed`; timers never fire.
class FakeClock : public transport::Runtime {
 public:
  SteadyTime now() const override { return SteadyTime{elapsed}; }
  WallTime wall_now() const override { return WallTime{elapsed}; }
  void after(Seconds, std::function<void()>) override {}

  Seconds elapsed{1000};
};

}  // namespace poppystile::coordination
