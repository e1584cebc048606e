/// \file
/// Attempt numbers: distinct and growing over all leaders, without a record of them.
#pragma once

#include <cstdint>
#include <optional>

#include "constants.hpp"

namespace poppystile::cluster {

/// Draws the attempt numbers of one leader's term. Its fencing token is in the upper bits.
class AttemptNumbers {
 public:
  /// `used`: of the token's numbers, how many were drawn before.
  explicit AttemptNumbers(std::uint64_t token = 0, std::uint64_t used = 0)
      : token_(token), used_(used) {}

  /// One number serves all tasks of a plan, since a plan places a task once at most. Nothing when
  /// the token's numbers are used up: the next ones would be those of the next token.
  std::optional<std::uint64_t> next() {
    if (used_ + 1 >= std::uint64_t{1} << constants::attempt_bits) return std::nullopt;
    return (token_ << constants::attempt_bits) | ++used_;
  }

 private:
  std::uint64_t token_;
  std::uint64_t used_;
};

}  // namespace poppystile::cluster
