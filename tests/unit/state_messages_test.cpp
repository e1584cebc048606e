/// \file
/// Encoding of requests to the state service and decoding of its responses.
#include "protocol/state_messages.hpp"

#include <gtest/gtest.h>

#include <optional>
#include <string>

namespace poppystile {
namespace {

using protocol::Json;

TEST(StateMessagesTest, EncodesConditionsAndChangesOfATransaction) {
  const Json body = Json::parse(protocol::encode_transaction(
      {{{"a/b", 0}}, {{"a/b", R"({"x":1})", 7}, {"c/d", std::nullopt, 0}}}));
  EXPECT_EQ(body, Json::parse(R"({"when":[{"key":"a/b","stamp":0}],
    "apply":[{"write":"a/b","data":{"x":1},"pass":7},{"remove":"c/d"}]})"));
}

TEST(StateMessagesTest, DecodesWritesAndRemovalsOfAWatch) {
  const auto page = protocol::parse_watch(
      R"({"epoch":433,"log":[{"write":"c/9","data":{"v":1},"stamp":433},{"remove":"c/d","stamp":432}]})");
  EXPECT_EQ(page.revision, 433u);
  ASSERT_EQ(page.events.size(), 2u);
  EXPECT_TRUE(page.events[0].value.has_value());
  EXPECT_FALSE(page.events[1].value.has_value());
}

}  // namespace
}  // namespace poppystile
