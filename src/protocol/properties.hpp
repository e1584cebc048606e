/// \file
/// Operators' own settings, as Java-style properties.
#pragma once

#include <string>

#include "clock.hpp"

namespace poppystile::protocol {

/// What operators may change; unless they do, the values of constants.hpp.
struct Properties {
  Seconds idle_capacity_retention;  ///< fleet.idle-keep-s
  double service_reserve;           ///< fleet.service-reserve
  double remote_offset_units;       ///< planner.remote-offset-units
  Properties();
};

/// Throws DecodeError naming the key and what was expected. An empty path gives the defaults.
Properties read_properties(const std::string& path);

}  // namespace poppystile::protocol
