/// \file
/// Subtraction of unsigned counts without wrap-around.
#pragma once

#include <algorithm>
#include <concepts>

namespace poppystile::planning {

/// Returns `total - used`, or 0 if `used` exceeds `total`.
template <std::unsigned_integral Count>
constexpr Count saturating_subtract(Count total, Count used) {
  return total - std::min(total, used);
}

}  // namespace poppystile::planning
