/// \file
/// Rate limit with bursts.
#pragma once

#include "clock.hpp"

namespace poppystile::coordination {

/// Limits a rate of calls or changes; bursts of up to one second's worth are allowed. Starts full.
class TokenBucket {
 public:
  /// `rate` is in tokens per second and must be positive.
  TokenBucket(double rate, SteadyTime now) : rate_(rate), available_(rate), updated_at_(now) {}
  /// Restricts the bucket to a share of its rate, in (0, 1]; 1 at first.
  void set_share(double share) { share_ = share; }
  /// Takes `amount` tokens if they are available at `now`, and returns whether it did. An amount
  /// larger than a burst needs a full bucket and leaves it in debt, since it would otherwise wait
  /// forever. With `overdraw` a debt of up to one second's worth of the whole rate is accepted.
  bool take(double amount, bool overdraw, SteadyTime now);
  /// How long to wait before `amount` can be available, as of the latest `take`; between
  /// `min_bucket_wait` and `max_bucket_wait`.
  Seconds time_until_available(double amount) const;
  /// Tokens per second, and in one burst.
  double per_second() const { return rate_ * share_; }

 private:
  double rate_;
  double share_ = 1;
  double available_;
  SteadyTime updated_at_;
};

}  // namespace poppystile::coordination
