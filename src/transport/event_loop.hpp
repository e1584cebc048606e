// The libuv loop behind a small interface, so that tests run in simulated time.
#pragma once

#include <uv.h>

#include <functional>
#include <memory>

#include "clock.hpp"

namespace poppystile::transport {

// Time and timers. Implemented by the libuv loop and by the tests' simulated world.
class Runtime {
 public:
  virtual ~Runtime() = default;
  // Steady time in seconds; only differences mean anything.
  virtual SteadyTime now() const = 0;
  // Time of day in seconds since 1970.
  virtual WallTime wall_now() const = 0;
  virtual void after(Seconds delay, std::function<void()> action) = 0;
};

class EventLoop final : public Runtime {
 public:
  EventLoop();
  ~EventLoop() override;
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  SteadyTime now() const override;
  WallTime wall_now() const override;
  void after(Seconds delay, std::function<void()> action) override;
  void run();
  uv_loop_t* raw() { return &loop_; }

 private:
  uv_loop_t loop_{};
};

}  // namespace poppystile::transport
