/// \file
/// The times of recent events, one for each job.
#pragma once

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

#include "clock.hpp"

namespace poppystile::coordination {

/// Remembers, for a limited time, when an event first concerned a job.
class RecentEvents {
 public:
  explicit RecentEvents(Seconds retention) : retention_(retention) {}

  /// Records an event now, unless one of the job is remembered already. Forgets the events that are
  /// older than the retention time.
  void record(const std::string& job, SteadyTime now) {
    while (!in_order_.empty() && now - times_.at(in_order_.front()) > retention_) {
      times_.erase(in_order_.front());
      in_order_.pop_front();
    }
    if (times_.emplace(job, now).second) in_order_.push_back(job);
  }

  /// The time of the event of the job; `nullopt` if there was none, or if it has been forgotten.
  std::optional<SteadyTime> find(const std::string& job) const {
    const auto found = times_.find(job);
    if (found == times_.end()) return std::nullopt;
    return found->second;
  }

 private:
  Seconds retention_;
  std::unordered_map<std::string, SteadyTime> times_;
  std::deque<std::string> in_order_;  // The keys of `times_`, oldest event first.
};

}  // namespace poppystile::coordination
