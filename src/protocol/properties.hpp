/// \file
/// Tuning parameters that operators can override in a Java-style properties file.
#pragma once

#include <string>

#include "clock.hpp"

namespace poppystile::protocol {

/// The parameters that operators can override. The constants of the same names in constants.hpp
/// explain them and are their defaults.
struct Properties {
  Seconds idle_capacity_retention;  ///< Key fleet.idle-keep-s.
  double service_reserve;           ///< Key fleet.service-reserve.
  double remote_offset_units;       ///< Key planner.remote-offset-units.
  Properties();
};

/// Reads the file at `path`, or returns the defaults if `path` is empty. Throws DecodeError if the
/// file cannot be opened, has an unknown key or has a value outside its range; the text names the
/// key and the expected value.
Properties read_properties(const std::string& path);

}  // namespace poppystile::protocol
