// Typed results of calls to the cloud, the limit on their rate, and abandoned calls.
#include "coordination/fleet/cloud_client.hpp"

#include <gtest/gtest.h>

#include <optional>

#include "unit/fleet_fixture.hpp"

namespace poppystile::coordination {
namespace {

class CloudClientTest : public FleetFixture {
 protected:
  CloudResult<std::vector<std::string>> rent(int status, const std::string& body) {
    std::optional<CloudResult<std::vector<std::string>>> result;
    cloud.request_rental("r-1", {"t", "a", true, 3},
                         [&](const auto& received) { result = received; });
    cloud_http.respond(status, body);
    return result.value();
  }
};

TEST_F(CloudClientTest, ReturnsTheGrantedMachines) {
  const auto granted = rent(200, R"({"stiles":["n-1","n-2"]})");
  ASSERT_TRUE(granted.has_value());
  EXPECT_EQ(*granted, (std::vector<std::string>{"n-1", "n-2"}));
}

TEST_F(CloudClientTest, DistinguishesRefusalsFromUnavailability) {
  using Reason = CloudError::Reason;
  EXPECT_EQ(rent(503, R"({"error":"no capacity"})").error().reason, Reason::refused);
  EXPECT_EQ(rent(400, R"({"error":"bad"})").error().reason, Reason::refused);
  EXPECT_EQ(rent(503, R"({"error":"trouble"})").error().reason, Reason::unavailable);
  EXPECT_EQ(rent(429, "").error().reason, Reason::unavailable);
  EXPECT_EQ(rent(0, "").error().reason, Reason::unavailable);
  EXPECT_EQ(rent(0, "").error().status, 0);
}

TEST_F(CloudClientTest, ReportsMalformedResponses) {
  const auto result = rent(200, R"({"stiles":7})");
  ASSERT_FALSE(result.has_value());
  EXPECT_EQ(result.error().reason, CloudError::Reason::malformed);
  EXPECT_FALSE(result.error().detail.empty());
}

TEST_F(CloudClientTest, AcquiresNoMoreCallsThanItsShareOfTheRateLimit) {
  settings.cloud_rps = 10;
  CloudClient limited{caller, cloud_http, settings};
  int acquired = 0;
  while (limited.acquire_call()) ++acquired;
  EXPECT_EQ(acquired, 9);
  queue.run_until(queue.now() + 0.5);
  while (limited.acquire_call()) ++acquired;
  EXPECT_EQ(acquired, 13);
}

TEST_F(CloudClientTest, DropsAbandonedCalls) {
  bool responded = false;
  cloud.release({"n-1"}, [&](const CloudResult<void>&) { responded = true; });
  cloud.abandon_calls();
  cloud_http.respond(200, "{}");
  EXPECT_FALSE(responded);
  cloud.release({"n-1"}, [&](const CloudResult<void>& result) { responded = result.has_value(); });
  cloud_http.respond(200, "{}");
  EXPECT_TRUE(responded);
}

}  // namespace
}  // namespace poppystile::coordination
