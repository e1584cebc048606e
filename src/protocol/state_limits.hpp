/// \file
/// Limits of the state service on request rates and on the size of values and transactions.
#pragma once

#include <algorithm>
#include <cstddef>

#include "constants.hpp"

namespace poppystile::protocol {

/// The limits that the settings give for the state service.
struct StateLimits {
  double rps = 100;       ///< Requests per second.
  double write_rps = 20;  ///< Changes per second.
  double value_kb = 8;    ///< Size of one value in KiB.
  int txn_ops = 16;       ///< Changes in one transaction.

  /// Largest size in bytes of a value that this program encodes. The rest of the limit is reserved
  /// for white space that another encoder may add and for the JSON text around journal entries.
  std::size_t max_value_bytes() const {
    return static_cast<std::size_t>(value_kb * 1024 * constants::value_fill_share);
  }

  /// Largest number of changes in one transaction.
  std::size_t max_changes() const { return static_cast<std::size_t>(txn_ops); }

  /// Largest number of conditions in one transaction: four for each allowed change (PROTOCOL).
  std::size_t max_conditions() const { return 4 * max_changes(); }
};

/// The lower of each pair of limits. Requests within them stay valid when the service changes from
/// one set of limits to the other without notice.
inline StateLimits lower_of(const StateLimits& a, const StateLimits& b) {
  return {std::min(a.rps, b.rps), std::min(a.write_rps, b.write_rps),
          std::min(a.value_kb, b.value_kb), std::min(a.txn_ops, b.txn_ops)};
}

}  // namespace poppystile::protocol
