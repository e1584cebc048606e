/// \file
/// The libuv loop behind a small interface, so that tests run in simulated time.
#pragma once

#include <uv.h>

#include <functional>

#include "clock.hpp"

namespace poppystile::transport {

/// Time and timers. Implemented by the libuv loop and by the tests' simulation.
class Runtime {
 public:
  virtual ~Runtime() = default;
  virtual SteadyTime now() const = 0;
  virtual WallTime wall_now() const = 0;
  /// Runs `action` once, no sooner than `delay` from now and never within this call.
  virtual void after(Seconds delay, std::function<void()> action) = 0;
};

/// The loop that runs all of a controller in one thread.
class EventLoop final : public Runtime {
 public:
  /// Throws std::runtime_error when the system gives no loop.
  EventLoop();
  ~EventLoop() override;
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  SteadyTime now() const override;
  WallTime wall_now() const override;
  void after(Seconds delay, std::function<void()> action) override;

  /// Runs until no handle is left.
  void run();
  uv_loop_t* raw() { return &loop_; }

 private:
  uv_loop_t loop_{};
};

}  // namespace poppystile::transport
