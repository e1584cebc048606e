/// \file
/// Waiting out spans of time that another machine measures.
#pragma once

#include "constants.hpp"

namespace poppystile::coordination {

/// How long to wait by our clock until `span` has surely passed by another's.
inline Seconds with_clock_drift(Seconds span) {
  return span * (1 + constants::clock_drift) + constants::lease_margin;
}

}  // namespace poppystile::coordination
