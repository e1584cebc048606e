/// \file
/// A timer that can be restarted.
#pragma once

#include <chrono>
#include <functional>

#include "transport/event_loop.hpp"
#include "transport/uv_handle.hpp"

namespace poppystile::transport {

/// Runs an action once the delay of the last restart has elapsed; never after its destruction or
/// `close()`.
class Timer {
 public:
  Timer(EventLoop& loop, std::function<void()> action);

  /// Starts the timer; a timer that is running starts again with this delay.
  void restart(std::chrono::milliseconds delay);
  /// Stops the timer for good; no other member may be called afterwards.
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
