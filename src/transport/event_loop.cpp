#include "transport/event_loop.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <stdexcept>
#include <utility>

#include "transport/uv_handle.hpp"

namespace poppystile::transport {

namespace {

constexpr double seconds_per_nanosecond = 1e-9;
constexpr double milliseconds_per_second = 1000.0;

/// A timer that runs its action once. Owns itself through `self` until it has fired.
struct OneShotTimer {
  uv_timer_t handle{};
  bool closing = false;
  std::function<void()> action;
  UvHandle<OneShotTimer> self;
};

void fire(uv_timer_t* handle) {
  auto* timer = static_cast<OneShotTimer*>(handle->data);
  const auto action = std::move(timer->action);
  timer->self.reset();
  action();
}

/// Rounds up, so that a timer never fires early.
std::uint64_t to_milliseconds(Seconds delay) {
  return static_cast<std::uint64_t>(
      std::ceil(std::max(0.0, delay.count()) * milliseconds_per_second));
}

}  // namespace

EventLoop::EventLoop() {
  if (uv_loop_init(&loop_) != 0) throw std::runtime_error("cannot start the libuv event loop");
}

EventLoop::~EventLoop() { uv_loop_close(&loop_); }

SteadyTime EventLoop::now() const {
  return SteadyTime{Seconds{static_cast<double>(uv_hrtime()) * seconds_per_nanosecond}};
}

WallTime EventLoop::wall_now() const {
  return WallTime{Seconds{std::chrono::system_clock::now().time_since_epoch()}};
}

void EventLoop::after(Seconds delay, std::function<void()> action) {
  UvHandle<OneShotTimer> timer(new OneShotTimer);
  uv_timer_init(&loop_, &timer->handle);
  timer->handle.data = timer.get();
  timer->action = std::move(action);
  uv_update_time(&loop_);
  uv_timer_start(&timer->handle, fire, to_milliseconds(delay), 0);
  OneShotTimer& armed = *timer;
  armed.self = std::move(timer);
}

void EventLoop::run() { uv_run(&loop_, UV_RUN_DEFAULT); }

}  // namespace poppystile::transport
