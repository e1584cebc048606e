/// \file
/// Decoding and encoding of the catalog of machine types.
#include "protocol/cloud_messages.hpp"

#include <gtest/gtest.h>

namespace poppystile {
namespace {

using protocol::Json;

TEST(CatalogTest, DecodesAndEncodesTheExampleOfTheProtocol) {
  const Json example = Json::parse(
      R"({"builds":[{"sku":"g8","cores":96.0,"gpus":8.0,"ram_gb":768.0,"local_gb":200.0,
      "fetch_gb_per_s":1.0,"rate":12.0,"low_price":4.5,"boot_s":45.0,"yards":["a","b"]}]})");
  const auto types = protocol::parse_catalog(example);
  ASSERT_EQ(types.size(), 1u);
  EXPECT_EQ(types[0].size.cpus, 96000);
  EXPECT_EQ(types[0].spot_price, 4.5);
  EXPECT_EQ(protocol::encode_catalog(types), example);
}

}  // namespace
}  // namespace poppystile
