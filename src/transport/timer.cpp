#include "transport/timer.hpp"

#include <cstdint>
#include <utility>

namespace poppystile::transport {

Timer::Timer(EventLoop& loop, std::function<void()> action) : block_(new Block) {
  uv_timer_init(loop.raw(), &block_->handle);
  block_->handle.data = block_.get();
  block_->action = std::move(action);
}

void Timer::restart(std::chrono::milliseconds delay) {
  uv_timer_start(
      &block_->handle,
      [](uv_timer_t* handle) {
        const auto* block = static_cast<Block*>(handle->data);
        if (!block->closing) block->action();
      },
      static_cast<std::uint64_t>(delay.count()), 0);
}

}  // namespace poppystile::transport
