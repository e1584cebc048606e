/// \file
/// The recent demand for cpus.
#pragma once

#include <cstdint>
#include <deque>

#include "clock.hpp"

namespace poppystile::coordination {

/// Remembers the demand of each scaling pass for a while, so that a short lull does not shrink the
/// fleet.
class DemandHistory {
 public:
  void clear() { samples_.clear(); }
  /// Adds a sample, not earlier than the one before.
  void record(SteadyTime now, std::int64_t cpus) { samples_.push_back({now, cpus}); }
  /// The highest demand of the last `window` seconds, in thousandths of cpus; 0 without a sample.
  /// Older samples are forgotten.
  std::int64_t peak(SteadyTime now, Seconds window);

 private:
  struct Sample {
    SteadyTime time;
    std::int64_t cpus = 0;
  };
  std::deque<Sample> samples_;
};

}  // namespace poppystile::coordination
