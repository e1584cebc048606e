#include "transport/event_loop.hpp"

#include <chrono>
#include <cmath>
#include <stdexcept>
#include <utility>

namespace poppystile::transport {

namespace {
struct OneShot {
  uv_timer_t timer{};
  std::function<void()> action;
};
}  // namespace

EventLoop::EventLoop() {
  if (uv_loop_init(&loop_) != 0) throw std::runtime_error("cannot start the event loop");
}

EventLoop::~EventLoop() { uv_loop_close(&loop_); }

SteadyTime EventLoop::now() const {
  return SteadyTime{Seconds{static_cast<double>(uv_hrtime()) * 1e-9}};
}

WallTime EventLoop::wall_now() const {
  return WallTime{Seconds{std::chrono::system_clock::now().time_since_epoch()}};
}

void EventLoop::after(Seconds delay, std::function<void()> action) {
  // libuv owns the handle until its close callback runs, hence the hand-over of ownership.
  auto shot = std::make_unique<OneShot>();
  shot->action = std::move(action);
  uv_timer_init(&loop_, &shot->timer);
  shot->timer.data = shot.get();
  uv_update_time(&loop_);
  uv_timer_start(
      &shot->timer,
      [](uv_timer_t* timer) {
        auto* self = static_cast<OneShot*>(timer->data);
        auto todo = std::move(self->action);
        uv_close(reinterpret_cast<uv_handle_t*>(timer), [](uv_handle_t* handle) {
          std::unique_ptr<OneShot>(static_cast<OneShot*>(handle->data));
        });
        todo();
      },
      static_cast<std::uint64_t>(std::ceil(std::max(0.0, delay.count()) * 1000.0)), 0);
  (void)shot.release();
}

void EventLoop::run() { uv_run(&loop_, UV_RUN_DEFAULT); }

}  // namespace poppystile::transport
