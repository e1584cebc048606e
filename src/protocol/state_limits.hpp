/// \file
/// What the state service allows: the one place that knows how large a value or transaction may be
/// and how often the service may be called.
#pragma once

#include <algorithm>
#include <cstddef>

#include "constants.hpp"

namespace poppystile::protocol {

/// Limits of the state service.
struct StateLimits {
  double rps = 100;       ///< Requests a second.
  double write_rps = 20;  ///< Changes a second.
  double value_kb = 8;    ///< KiB of one value.
  int txn_ops = 16;       ///< Changes in one transaction.

  /// Bytes that a value may have as we write it; what remains is for another encoder's white space
  /// and for the frame around entries.
  std::size_t max_value_bytes() const {
    return static_cast<std::size_t>(value_kb * 1024 * constants::value_fill_share);
  }

  /// Changes that one transaction may have.
  std::size_t max_changes() const { return static_cast<std::size_t>(txn_ops); }

  /// PROTOCOL allows four conditions for each change.
  std::size_t max_conditions() const { return 4 * max_changes(); }
};

/// What holds under both: a service whose limits may fall from one to the other without notice is
/// served within these at any time.
inline StateLimits lower_of(const StateLimits& a, const StateLimits& b) {
  return {std::min(a.rps, b.rps), std::min(a.write_rps, b.write_rps),
          std::min(a.value_kb, b.value_kb), std::min(a.txn_ops, b.txn_ops)};
}

}  // namespace poppystile::protocol
