/// \file
/// Subtraction of counts that stops at zero.
#pragma once

#include <algorithm>
#include <concepts>

namespace poppystile::planning {

/// Returns `total - used`, or 0 where `used` is more.
template <std::unsigned_integral Count>
constexpr Count saturating_subtract(Count total, Count used) {
  return total - std::min(total, used);
}

}  // namespace poppystile::planning
