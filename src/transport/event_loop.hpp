/// \file
/// Clocks and timers behind an interface, so that tests can run in simulated time, and their
/// implementation with libuv.
#pragma once

#include <uv.h>

#include <functional>

#include "clock.hpp"

namespace poppystile::transport {

/// Clocks and timers. Implemented by `EventLoop` and by the tests' simulation.
class Runtime {
 public:
  virtual ~Runtime() = default;
  virtual SteadyTime now() const = 0;
  virtual WallTime wall_now() const = 0;
  /// Schedules `action` to run once, at least `delay` from now and never within this call.
  virtual void after(Seconds delay, std::function<void()> action) = 0;
};

/// The libuv event loop, in whose single thread the whole controller runs.
class EventLoop final : public Runtime {
 public:
  /// Throws std::runtime_error if libuv cannot initialize the loop.
  EventLoop();
  ~EventLoop() override;
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  SteadyTime now() const override;
  WallTime wall_now() const override;
  void after(Seconds delay, std::function<void()> action) override;

  /// Runs until no libuv handle is active.
  void run();
  /// The libuv loop, for the creation of handles.
  uv_loop_t* raw() { return &loop_; }

 private:
  uv_loop_t loop_{};
};

}  // namespace poppystile::transport
