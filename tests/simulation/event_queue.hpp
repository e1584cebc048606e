/// \file
/// Simulated time: one queue of events, and the only source of randomness of a simulation.
#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <random>
#include <utility>
#include <vector>

#include "clock.hpp"

namespace poppystile::simulation {

/// Runs events in the order of their times, and events of the same time in the order in which they
/// were queued. Times are seconds since the start of the simulation.
class EventQueue {
 public:
  explicit EventQueue(std::uint64_t seed) : random(seed) {}

  double now() const { return now_; }
  /// Queues an event; a time in the past counts as now.
  void at(double time, std::function<void()> action);
  void after(Seconds delay, std::function<void()> action) {
    at(now_ + delay.count(), std::move(action));
  }
  /// Runs all events up to `end`, those included that these queue.
  void run_until(double end);

  /// A random value between the bounds.
  double uniform(double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(random);
  }
  Seconds uniform(Seconds low, Seconds high) { return Seconds{uniform(low.count(), high.count())}; }
  /// True with this probability. Draws a number whatever the probability is.
  bool chance(double probability) { return uniform(0, 1) < probability; }

  std::mt19937_64 random;

 private:
  struct Event {
    double time;
    std::uint64_t order;
    std::function<void()> action;
    // A priority queue has its largest element first: the earliest event.
    bool operator<(const Event& other) const {
      return time != other.time ? time > other.time : order > other.order;
    }
  };
  std::priority_queue<Event> events_;
  double now_ = 0;
  std::uint64_t next_order_ = 0;
};

/// Sets `target` to `value` for this long, and then back to what it was. `target` must outlive the
/// queue, and intervals on the same target must neither overlap nor touch.
template <typename T>
void set_temporarily(EventQueue& queue, T& target, T value, Seconds duration) {
  queue.after(duration,
              [&target, previous = std::exchange(target, std::move(value))] { target = previous; });
}

}  // namespace poppystile::simulation
