/// \file
/// Rate limiting with bursts.
#pragma once

#include "clock.hpp"

namespace poppystile::coordination {

/// Limits the rate of calls or changes. Allows bursts of up to one second's worth of tokens. A new
/// bucket is full.
class TokenBucket {
 public:
  /// `rate` is in tokens per second and must be positive.
  TokenBucket(double rate, SteadyTime now) : rate_(rate), available_(rate), updated_at_(now) {}
  /// Restricts the bucket to a share of its rate, in (0, 1]; initially 1.
  void set_share(double share) { share_ = share; }
  /// Takes `amount` tokens if they are available at `now`, and returns whether it took them. An
  /// amount larger than a burst would never be available, so it needs only a full bucket and leaves
  /// a debt. With `overdraw` a debt of up to one second's worth of the full rate is allowed.
  bool take(double amount, bool overdraw, SteadyTime now);
  /// Time after the latest `take` until `amount` tokens are available, limited to the range from
  /// `min_bucket_wait` to `max_bucket_wait`.
  Seconds time_until_available(double amount) const;
  /// Tokens per second under the current share; also the size of the largest burst.
  double per_second() const { return rate_ * share_; }

 private:
  double rate_;
  double share_ = 1;
  double available_;
  SteadyTime updated_at_;
};

}  // namespace poppystile::coordination
