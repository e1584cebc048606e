// Simulated time: one queue of events for the whole world.
#pragma once

#include <functional>
#include <queue>
#include <random>
#include <vector>

namespace poppystile::simulation {

class EventQueue {
 public:
  explicit EventQueue(std::uint64_t seed) : random(seed) {}
  double now() const { return now_; }
  void at(double time, std::function<void()> action);
  void after(double delay, std::function<void()> action) { at(now_ + delay, std::move(action)); }
  void run_until(double end);
  double uniform(double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(random);
  }
  bool chance(double probability) { return uniform(0, 1) < probability; }

  std::mt19937_64 random;

 private:
  struct Event {
    double time;
    std::uint64_t order;
    std::function<void()> action;
    bool operator<(const Event& o) const {
      return time != o.time ? time > o.time : order > o.order;
    }
  };
  std::priority_queue<Event> events_;
  double now_ = 0;
  std::uint64_t order_ = 0;
};

}  // namespace poppystile::simulation
