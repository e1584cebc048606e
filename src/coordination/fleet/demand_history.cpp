#include "coordination/fleet/demand_history.hpp"

#include <algorithm>

namespace poppystile::coordination {

std::int64_t DemandHistory::peak(SteadyTime now, Seconds window) {
  while (!samples_.empty() && samples_.front().time < now - window) samples_.pop_front();
  std::int64_t peak = 0;
  for (const auto& sample : samples_) peak = std::max(peak, sample.cpus);
  return peak;
}

}  // namespace poppystile::coordination
