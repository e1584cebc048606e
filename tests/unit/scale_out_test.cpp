// Renting: durable records before requests, backoff, and handling of the cloud's responses.
#include "coordination/fleet/scale_out.hpp"

#include <gtest/gtest.h>

#include "constants.hpp"
#include "unit/fleet_fixture.hpp"

namespace poppystile::coordination {
namespace {

using planning::Offer;

TEST(OfferBackoffTest, PausesDoubleUpToABound) {
  const Offer offer{"t", "a", true};
  OfferBackoff backoff;
  SteadyTime now{Seconds{100}};
  EXPECT_FALSE(backoff.is_paused(offer, now));
  for (const double pause : {15.0, 30.0, 60.0, 60.0}) {
    backoff.record_refusal(offer, now);
    EXPECT_TRUE(backoff.is_paused(offer, now + Seconds{pause - 0.1}));
    EXPECT_EQ(backoff.paused_offers(now), std::set<Offer>{offer});
    now += Seconds{pause};
    EXPECT_FALSE(backoff.is_paused(offer, now));
    EXPECT_TRUE(backoff.paused_offers(now).empty());
  }
}

TEST(OfferBackoffTest, ASuccessfulRequestResetsThePause) {
  const Offer offer{"t", "a", true};
  const SteadyTime now{Seconds{100}};
  OfferBackoff backoff;
  backoff.record_refusal(offer, now);
  backoff.record_refusal(offer, now);
  backoff.reset(offer);
  EXPECT_FALSE(backoff.is_paused(offer, now));
  backoff.record_refusal(offer, now);
  EXPECT_FALSE(backoff.is_paused(offer, now + constants::initial_no_capacity_pause));
}

class RentalLogTest : public FleetFixture {
 protected:
  RentalLog rental_log{journal};
};

TEST_F(RentalLogTest, ARequestIsDueOnlyOnceTheRentalIsDurable) {
  become_leader();
  rental_log.add(3, {"t", "a", true, 2});
  const PendingRental* rental = rental_log.find("h-3-1");
  ASSERT_NE(rental, nullptr);
  EXPECT_FALSE(rental_log.is_request_due(*rental, caller.now()));
  run_for(1);
  EXPECT_TRUE(rental_log.is_request_due(*rental, caller.now()));
}

TEST_F(RentalLogTest, NamesAreNotReusedAfterSettling) {
  rental_log.add(3, {"t", "a", true, 2});
  rental_log.settle("h-3-1");
  rental_log.add(3, {"t", "a", true, 2});
  EXPECT_EQ(rental_log.find("h-3-1"), nullptr);
  EXPECT_NE(rental_log.find("h-3-2"), nullptr);
}

TEST_F(RentalLogTest, TreatsRentalsOfPreviousLeadersAsRequested) {
  rental_log.add(3, {"t", "a", true, 2});
  rental_log.begin_term({{"h-2-1", {"t", "a", false, 4}}});
  EXPECT_EQ(rental_log.find("h-3-1"), nullptr);
  ASSERT_NE(rental_log.find("h-2-1"), nullptr);
  EXPECT_TRUE(rental_log.find("h-2-1")->requested);
  ASSERT_EQ(rental_log.records().size(), 1u);
  EXPECT_EQ(rental_log.records().at("h-2-1").count, 4);
}

class ScaleOutTest : public FleetFixture {
 protected:
  // Records a rental of `count` spot machines and requests it.
  void request(int count) {
    scale_out.record_rentals({{offer, count}}, 1);
    run_for(1);
    scale_out.request_due_rentals();
    ASSERT_EQ(cloud_http.calls.size(), 1u);
  }
  const Offer offer{"t", "a", true};
  RentalLog rental_log{journal};
  ScaleOut scale_out{caller, cloud, rental_log, registry, settings};
};

TEST_F(ScaleOutTest, AdmitsGrantedMachinesAndSettlesTheRental) {
  become_leader();
  request(2);
  cloud_http.respond(200, R"({"stiles":["n-1","n-2"]})");
  ASSERT_NE(registry.find("n-1"), nullptr);
  EXPECT_TRUE(registry.find("n-2")->spot);
  EXPECT_EQ(registry.find("n-2")->size.cpus, 16000);
  EXPECT_TRUE(rental_log.rentals().empty());
  EXPECT_TRUE(scale_out.refused_offers().empty());
}

TEST_F(ScaleOutTest, PausesAnOfferThatIsGrantedInPart) {
  become_leader();
  request(2);
  cloud_http.respond(200, R"({"stiles":["n-1"]})");
  EXPECT_NE(registry.find("n-1"), nullptr);
  EXPECT_TRUE(rental_log.rentals().empty());
  EXPECT_EQ(scale_out.refused_offers(), std::set<Offer>{offer});
}

TEST_F(ScaleOutTest, ARefusalSettlesTheRentalAndPausesTheOffer) {
  become_leader();
  request(2);
  cloud_http.respond(503, R"({"error":"no capacity"})");
  EXPECT_TRUE(rental_log.rentals().empty());
  EXPECT_EQ(scale_out.refused_offers(), std::set<Offer>{offer});
}

TEST_F(ScaleOutTest, RepeatsARequestWithoutAResponseUnderTheSameName) {
  become_leader();
  request(2);
  const std::string body = cloud_http.calls.front().request.body;
  cloud_http.respond(0, "");
  scale_out.request_due_rentals();
  EXPECT_TRUE(cloud_http.calls.empty());
  run_for(constants::rental_retry_pause.count() + 0.1);
  scale_out.request_due_rentals();
  ASSERT_EQ(cloud_http.calls.size(), 1u);
  EXPECT_EQ(cloud_http.calls.front().request.body, body);
}

TEST_F(ScaleOutTest, WithdrawsOnlyRentalsThatWereNeverRequested) {
  become_leader();
  request(2);
  scale_out.record_rentals({{offer, 1}, {{"t", "a", false}, 1}}, 1);
  cloud_http.respond(503, R"({"error":"no capacity"})");
  ASSERT_EQ(scale_out.pending_orders().size(), 2u);
  scale_out.withdraw_refused_rentals();
  ASSERT_EQ(scale_out.pending_orders().size(), 1u);
  EXPECT_FALSE(scale_out.pending_orders()[0].offer.spot);
}

TEST_F(ScaleOutTest, RecordsNoMoreRentalsThanTheRateLimitAllowsInASecond) {
  const std::vector<planning::RentalOrder> orders(8, {offer, 1});
  scale_out.record_rentals(orders, 1);
  EXPECT_EQ(rental_log.rentals().size(), 5u);
}

}  // namespace
}  // namespace poppystile::coordination
