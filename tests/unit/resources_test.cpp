/// \file
/// Amounts of resources: encoding in messages, and how many times they fit into a capacity.
#include "protocol/resources.hpp"

#include <gtest/gtest.h>

#include <string>

namespace poppystile::protocol {
namespace {

const Json message = {{"cores", 1.5}, {"gpus", 0.0}, {"ram_gb", 6.7}};

TEST(ResourcesTest, DecodesAndEncodesThousandths) {
  const Resources resources = parse_resources(message);
  EXPECT_EQ(resources.cpus, 1500);
  EXPECT_EQ(resources.gpus, 0);
  EXPECT_EQ(resources.memory, 6700);
  Json encoded = Json::object();
  encode_resources(resources, encoded);
  EXPECT_EQ(encoded, message);
}

TEST(ResourcesTest, RejectsAmountsAboveTheLimitAndNamesTheField) {
  Json large = message;
  large["ram_gb"] = 11;
  EXPECT_EQ(parse_resources(large).memory, 11000);
  try {
    parse_resources(large, 10);
    FAIL() << "an amount above the bound was taken";
  } catch (const DecodeError& error) {
    EXPECT_EQ(error.field(), "ram_gb");
    EXPECT_EQ(std::string(error.what()), "ram_gb out of range");
  }
}

TEST(ResourcesTest, CountsHowManyTimesItFits) {
  const Resources capacity{8000, 2000, 16000};
  EXPECT_EQ((Resources{2000, 0, 1000}).times_in(capacity), 4);
  EXPECT_EQ((Resources{1000, 1000, 1000}).times_in(capacity), 2);
  EXPECT_EQ((Resources{9000, 0, 0}).times_in(capacity), 0);
}

TEST(DecodeErrorTest, NamesTheFieldAndTheExpectedValue) {
  const auto error = DecodeError::expected("lease_s", "a number above 0");
  EXPECT_EQ(error.field(), "lease_s");
  EXPECT_EQ(std::string(error.what()), "lease_s: expected a number above 0");
  EXPECT_EQ(DecodeError("not JSON").field(), "");
}

}  // namespace
}  // namespace poppystile::protocol
