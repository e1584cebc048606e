/// \file
/// Time to wait for leases that are measured by another machine's clock.
#pragma once

#include "clock.hpp"
#include "constants.hpp"

namespace poppystile::coordination {

/// Returns how long to wait by the local clock until `duration` has certainly passed by any other
/// machine's clock. Includes the drift between the clocks and a margin for delayed timers and
/// packets.
inline Seconds with_clock_drift(Seconds duration) {
  return duration * (1 + constants::clock_drift) + constants::lease_margin;
}

}  // namespace poppystile::coordination
