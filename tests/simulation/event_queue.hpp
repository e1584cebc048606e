/// \file
/// Simulated time: the event queue of a simulation and its only source of randomness.
#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <random>
#include <utility>
#include <vector>

#include "clock.hpp"

namespace poppystile::simulation {

/// Runs events in the order of their times; events with the same time run in the order in which
/// they were queued. Times are in seconds since the start of the simulation.
class EventQueue {
 public:
  explicit EventQueue(std::uint64_t seed) : random(seed) {}

  double now() const { return now_; }
  /// Queues an event. A time in the past counts as the present time.
  void at(double time, std::function<void()> action);
  void after(Seconds delay, std::function<void()> action) {
    at(now_ + delay.count(), std::move(action));
  }
  /// Runs all events up to and including the time `end`, also events that are queued meanwhile;
  /// then the time is `end`.
  void run_until(double end);

  /// Returns a uniformly distributed value from `low` to `high`.
  double uniform(double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(random);
  }
  Seconds uniform(Seconds low, Seconds high) { return Seconds{uniform(low.count(), high.count())}; }
  /// Returns true with this probability. Consumes one random number even if the probability is 0 or
  /// 1, so that the probability does not shift the later random numbers.
  bool chance(double probability) { return uniform(0, 1) < probability; }

  std::mt19937_64 random;

 private:
  struct Event {
    double time;
    std::uint64_t order;
    std::function<void()> action;
    // The earliest event is the largest, because std::priority_queue returns the largest first.
    bool operator<(const Event& other) const {
      return time != other.time ? time > other.time : order > other.order;
    }
  };
  std::priority_queue<Event> events_;
  double now_ = 0;
  std::uint64_t next_order_ = 0;
};

/// Sets `target` to `value` for `duration` and then restores its previous value. `target` must
/// outlive the queue. Intervals on the same target must neither overlap nor touch.
template <typename T>
void set_temporarily(EventQueue& queue, T& target, T value, Seconds duration) {
  queue.after(duration,
              [&target, previous = std::exchange(target, std::move(value))] { target = previous; });
}

}  // namespace poppystile::simulation
