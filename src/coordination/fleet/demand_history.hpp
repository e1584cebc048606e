/// \file
/// The recent demand for CPUs.
#pragma once

#include <cstdint>
#include <deque>

#include "clock.hpp"

namespace poppystile::coordination {

/// Keeps the demand of recent scaling passes, so that a short drop in demand does not shrink the
/// fleet.
class DemandHistory {
 public:
  void clear() { samples_.clear(); }
  /// Adds a sample in thousandths of CPUs. `now` must not precede that of the previous sample.
  void record(SteadyTime now, std::int64_t cpus) { samples_.push_back({now, cpus}); }
  /// Returns the highest demand of the last `window`, in thousandths of CPUs, or 0 if it has no
  /// sample. Discards older samples.
  std::int64_t peak(SteadyTime now, Seconds window);

 private:
  struct Sample {
    SteadyTime time;
    std::int64_t cpus = 0;
  };
  std::deque<Sample> samples_;
};

}  // namespace poppystile::coordination
