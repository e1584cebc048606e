/// \file
/// Waiting out spans of time that another machine measures.
#pragma once

#include "constants.hpp"

namespace poppystile::coordination {

/// How long to wait by our clock until `span_s` has surely passed by another's.
inline double with_clock_drift_s(double span_s) {
  return span_s * (1 + constants::clock_drift) + constants::lease_margin_s;
}

}  // namespace poppystile::coordination
