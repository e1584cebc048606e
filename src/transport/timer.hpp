/// \file
/// A timer that can be restarted.
#pragma once

#include <chrono>
#include <functional>

#include "transport/event_loop.hpp"
#include "transport/uv_handle.hpp"

namespace poppystile::transport {

/// Runs an action after a time without a restart; never after its destruction or `close()`.
class Timer {
 public:
  Timer(EventLoop& loop, std::function<void()> action);

  /// Starts the timer, or starts it again from the beginning.
  void restart(std::chrono::milliseconds delay);
  void close() { block_.reset(); }

 private:
  struct Block {
    uv_timer_t handle{};
    bool closing = false;
    std::function<void()> action;
  };

  UvHandle<Block> block_;
};

}  // namespace poppystile::transport
