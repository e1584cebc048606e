/// \file
/// Waiting for leases to expire that another machine's clock measures.
#pragma once

#include "clock.hpp"
#include "constants.hpp"

namespace poppystile::coordination {

/// How long to wait by our clock until `span` has surely passed by any other machine's clock.
/// Allows for the drift of both clocks, and for late timers and packets.
inline Seconds with_clock_drift(Seconds span) {
  return span * (1 + constants::clock_drift) + constants::lease_margin;
}

}  // namespace poppystile::coordination
