/// \file
/// Parsing of request paths.
#include "protocol/route.hpp"

#include <gtest/gtest.h>

namespace poppystile {
namespace {

TEST(RouteTest, ParsesKindAndJobId) {
  using Kind = protocol::Route::Kind;
  EXPECT_EQ(protocol::parse_route("/submissions").kind, Kind::submit);
  EXPECT_EQ(protocol::parse_route("/submissions/req-1").id, "req-1");
  EXPECT_EQ(protocol::parse_route("/submissions/req-1/cancel").kind, Kind::cancel);
  EXPECT_EQ(protocol::parse_route("/submissions/a/b/c").kind, Kind::none);
  EXPECT_EQ(protocol::parse_route("/submissions/").kind, Kind::none);
  EXPECT_EQ(protocol::parse_route("/elsewhere").kind, Kind::none);
}

}  // namespace
}  // namespace poppystile
