#include "simulation/event_queue.hpp"

#include <algorithm>

namespace poppystile::simulation {

void EventQueue::at(double time, std::function<void()> action) {
  events_.push({std::max(time, now_), next_order_++, std::move(action)});
}

void EventQueue::run_until(double end) {
  while (!events_.empty() && events_.top().time <= end) {
    auto next = events_.top();
    events_.pop();
    now_ = next.time;
    next.action();
  }
  now_ = end;
}

}  // namespace poppystile::simulation
