/// \file
/// Encoding and decoding of the status that controllers send one another.
#include "protocol/peer_messages.hpp"

#include <gtest/gtest.h>

#include <string>

#include "simulation/test_clock.hpp"
#include "unit/message_samples.hpp"

namespace poppystile {
namespace {

using samples::peer_status;

TEST(PeerMessagesTest, DecodesItsEncodingAndRejectsMalformedFrames) {
  protocol::PeerStatus status = peer_status();
  status.fresh_as_of_wall = wall_at(1.5e9);
  status.cancelled_is_complete = false;
  const std::string frame = protocol::encode_peer_status(status);
  const auto again = protocol::decode_peer_status(frame);
  ASSERT_TRUE(again.has_value());
  EXPECT_EQ(again->counts.at(0).running, 6u);
  EXPECT_EQ(again->sent_at, wall_at(1.7e9));
  EXPECT_EQ(again->redirected_heartbeats, 12u);
  EXPECT_EQ(again->incarnation, 77u);
  EXPECT_EQ(again->started_at, wall_at(1.4e9));
  EXPECT_EQ(again->state_contact_at, wall_at(1.6e9));
  EXPECT_EQ(again->fresh_as_of_wall, wall_at(1.5e9));
  EXPECT_FALSE(again->cancelled_is_complete);
  EXPECT_EQ(again->cancelled.at(0), "req-7");
  EXPECT_FALSE(protocol::decode_peer_status("").has_value());
  EXPECT_FALSE(protocol::decode_peer_status("\x81\x01").has_value());
}

// A head that declares billions of items blocked the process for seconds, while memory for the
// items was allocated.
TEST(PeerMessagesTest, RejectsHugeArraySizesWithoutAllocation) {
  EXPECT_FALSE(
      protocol::decode_peer_status(std::string("\x9b\x00\x00\x00\x7f\xff\xff\xff\xff\x01", 10))
          .has_value());
  EXPECT_FALSE(
      protocol::decode_peer_status(std::string("\xba\xff\xff\xff\xff\x01", 6)).has_value());
}

}  // namespace
}  // namespace poppystile
