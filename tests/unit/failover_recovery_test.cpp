#include "coordination/leader/failover_recovery.hpp"

#include <optional>

#include "coordination/election/lease_time.hpp"
#include "unit/leader_parts_fixture.hpp"

namespace poppystile::coordination {
namespace {

class FailoverRecoveryTest : public LeaderPartsFixture {
 protected:
  // Advances time until this controller is elected and its recovery has begun.
  void elect() {
    election.on_elected([this] { recovery.begin(); });
    election.on_deposed([this] { recovery.end_term(); });
    shared_state.start();
    election.start();
    for (int i = 0; i < 1000 && !election.is_leader(); ++i) advance(Seconds{0.01});
    ASSERT_TRUE(election.is_leader());
  }

  protocol::Properties properties;
  FleetManager fleet{caller,   caller,  key_value_client, shared_state,
                     election, journal, settings,         properties};
  JobRegistry jobs{cluster_state, shared_state, stopper, finalizer, [this] { ++plan_requests; }};
  int recovery_count = 0;
  FailoverRecovery recovery{caller,  shared_state, election,
                            journal, fleet,        cluster_state,
                            jobs,    settings,     [this] { ++recovery_count; }};
};

TEST_F(FailoverRecoveryTest, RestoresTheJobsOfTheSharedState) {
  storage::JobRecord record;
  record.spec = planning::spec("req-1", JobKind::array, 3, Priority::normal);
  simulation::write_record(service, storage::job_key("req-1"), storage::encode(record));
  elect();
  advance(Seconds{2});
  EXPECT_EQ(recovery_count, 1);
  EXPECT_FALSE(recovery.is_waiting_for_lease_expiry());
  ASSERT_NE(cluster_state.job("req-1"), nullptr);
  EXPECT_EQ(cluster_state.job("req-1")->waiting(), 3u);
}

TEST_F(FailoverRecoveryTest, UnreadableJournalIsReplacedWhenEveryLeaseHasExpired) {
  simulation::write_record(service, "journal/log/1", {{"v", 9}});
  elect();
  advance(Seconds{2});
  EXPECT_EQ(recovery_count, 0);
  EXPECT_TRUE(recovery.is_waiting_for_lease_expiry());
  advance(with_clock_drift(settings.cancel_timeout) + Seconds{2});
  EXPECT_EQ(recovery_count, 1);
  EXPECT_FALSE(recovery.is_waiting_for_lease_expiry());
  EXPECT_FALSE(service.has("journal/log/1"));
}

TEST_F(FailoverRecoveryTest, EndOfTheTermCancelsTheRecovery) {
  simulation::write_record(service, "journal/log/1", {{"v", 9}});
  elect();
  advance(Seconds{2});
  ASSERT_TRUE(recovery.is_waiting_for_lease_expiry());
  recovery.end_term();
  EXPECT_FALSE(recovery.is_waiting_for_lease_expiry());
  advance(with_clock_drift(settings.cancel_timeout) + Seconds{2});
  EXPECT_EQ(recovery_count, 0);
  EXPECT_TRUE(service.has("journal/log/1"));
}

}  // namespace
}  // namespace poppystile::coordination
