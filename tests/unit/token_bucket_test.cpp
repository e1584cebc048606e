// The rate limit: bursts, refill, share of the rate, and debt of calls that may overdraw.
#include "coordination/state/token_bucket.hpp"

#include <gtest/gtest.h>

#include "constants.hpp"

namespace poppystile::coordination {
namespace {

class TokenBucketTest : public testing::Test {
 protected:
  SteadyTime start{Seconds{100}};
  TokenBucket bucket{10, start};
};

TEST_F(TokenBucketTest, StartsWithOneSecondsWorth) {
  EXPECT_TRUE(bucket.take(10, false, start));
  EXPECT_FALSE(bucket.take(1, false, start));
}

TEST_F(TokenBucketTest, RefillsAtItsRateUpToOneBurst) {
  ASSERT_TRUE(bucket.take(10, false, start));
  EXPECT_FALSE(bucket.take(6, false, start + Seconds{0.5}));
  EXPECT_TRUE(bucket.take(5, false, start + Seconds{0.5}));
  EXPECT_TRUE(bucket.take(10, false, start + Seconds{60}));
  EXPECT_FALSE(bucket.take(1, false, start + Seconds{60}));
}

TEST_F(TokenBucketTest, ShareRestrictsRateAndBurst) {
  bucket.set_share(0.5);
  EXPECT_DOUBLE_EQ(bucket.per_second(), 5);
  EXPECT_TRUE(bucket.take(5, false, start));
  EXPECT_FALSE(bucket.take(1, false, start));
  EXPECT_TRUE(bucket.take(5, false, start + Seconds{1}));
}

TEST_F(TokenBucketTest, AmountLargerThanABurstTakesAFullBucketAndLeavesADebt) {
  EXPECT_TRUE(bucket.take(25, false, start));
  EXPECT_FALSE(bucket.take(1, false, start + Seconds{1.5}));
  EXPECT_TRUE(bucket.take(1, false, start + Seconds{1.7}));
}

TEST_F(TokenBucketTest, OverdrawAllowsADebtOfOneSecondsWorth) {
  ASSERT_TRUE(bucket.take(10, false, start));
  EXPECT_TRUE(bucket.take(10, true, start));
  EXPECT_FALSE(bucket.take(1, true, start));
}

TEST_F(TokenBucketTest, WaitIsTheTimeToRefillWithinItsBounds) {
  EXPECT_EQ(bucket.time_until_available(1), constants::min_bucket_wait);
  ASSERT_TRUE(bucket.take(10, false, start));
  EXPECT_DOUBLE_EQ(bucket.time_until_available(4).count(), 0.4);
  ASSERT_TRUE(bucket.take(10, true, start));
  EXPECT_EQ(bucket.time_until_available(10), constants::max_bucket_wait);
}

}  // namespace
}  // namespace poppystile::coordination
