/// \file
/// Attempt numbers: unique and increasing across all leaders, without being stored.
#pragma once

#include <cstdint>
#include <optional>

#include "constants.hpp"

namespace poppystile::cluster {

/// Generates the attempt numbers of one leader's term. The upper bits are the leader's fencing
/// token, the lower `attempt_counter_bits` a counter that begins at 1.
class AttemptNumbers {
 public:
  /// `used`: how many of the token's attempt numbers were generated before.
  explicit AttemptNumbers(std::uint64_t token = 0, std::uint64_t used = 0)
      : token_(token), used_(used) {}

  /// The next attempt number. One number is used for all placements of a plan, since a plan places
  /// a task at most once. `nullopt` when the token's numbers are exhausted: a further one would
  /// belong to the next token.
  std::optional<std::uint64_t> next() {
    if (used_ + 1 >= std::uint64_t{1} << constants::attempt_counter_bits) return std::nullopt;
    return (token_ << constants::attempt_counter_bits) | ++used_;
  }

 private:
  std::uint64_t token_;
  std::uint64_t used_;
};

}  // namespace poppystile::cluster
