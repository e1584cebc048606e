// Conditions under which a leader resigns because its workers do not reach it.
#include "coordination/peers/worker_reachability.hpp"

#include <gtest/gtest.h>

#include <optional>

#include "constants.hpp"
#include "unit/fake_clock.hpp"

namespace poppystile::coordination {
namespace {

class WorkerReachabilityTest : public testing::Test {
 protected:
  static protocol::Settings make_settings() {
    protocol::Settings settings;
    settings.peers = {{"stile-1", "a", {}}};
    settings.heartbeat_interval = Seconds{2};
    return settings;
  }

  // Ends up to `intervals` intervals of `peer_heartbeat_interval` with the given counts in each,
  // until the leader should resign. Returns the reason for that, or `nullopt` if it should not
  // resign.
  std::optional<ResignReason> end_intervals(int intervals, int direct, int redirected_by_peers) {
    std::optional<ResignReason> reason;
    for (int i = 0; i < intervals && !reason; ++i) {
      for (int heartbeat = 0; heartbeat < direct; ++heartbeat) reachability.count_direct();
      reachability.count_redirected_by_peer(static_cast<std::uint64_t>(redirected_by_peers));
      clock.elapsed += constants::peer_heartbeat_interval;
      reason = reachability.end_interval(leader);
    }
    return reason;
  }

  FakeClock clock;
  protocol::Settings settings = make_settings();
  WorkerReachability reachability{clock, settings};
  std::optional<LeaderObservation> leader = LeaderObservation{.is_ready = true,
                                                              .has_valid_lease = true,
                                                              .has_recent_peer_status = true,
                                                              .responsive_machines = 10};
};

TEST_F(WorkerReachabilityTest, LeaderThatReceivesHeartbeatsDoesNotResign) {
  EXPECT_EQ(end_intervals(30, 5, 0), std::nullopt);
}

TEST_F(WorkerReachabilityTest, ResignsWhenPeersRedirectManyMoreHeartbeatsThanArrive) {
  EXPECT_EQ(end_intervals(30, 1, 5), ResignReason::workers_reach_peers);
}

TEST_F(WorkerReachabilityTest, AFewRedirectedHeartbeatsDoNotMakeItResign) {
  EXPECT_EQ(end_intervals(30, 5, 20), std::nullopt);
}

TEST_F(WorkerReachabilityTest, OnlyAFullWindowOfCountsMakesItResign) {
  const int intervals_in_window =
      static_cast<int>(constants::reachability_window / constants::peer_heartbeat_interval);
  EXPECT_EQ(end_intervals(intervals_in_window, 1, 50), std::nullopt);
}

TEST_F(WorkerReachabilityTest, LeaderThatHasNotReplayedTheJournalDoesNotResign) {
  leader->is_ready = false;
  EXPECT_EQ(end_intervals(30, 1, 50), std::nullopt);
}

TEST_F(WorkerReachabilityTest, ResignsWithinAFewSecondsWhenAllWorkersFallSilent) {
  ASSERT_EQ(end_intervals(10, 5, 0), std::nullopt);
  EXPECT_EQ(end_intervals(4, 0, 0), ResignReason::all_workers_silent);
}

TEST_F(WorkerReachabilityTest, SilenceOfTooFewMachinesDoesNotMakeItResign) {
  leader->responsive_machines = constants::reachability_min_machines - 1;
  EXPECT_EQ(end_intervals(30, 0, 0), std::nullopt);
}

TEST_F(WorkerReachabilityTest, SilenceInAnOutageOfTheStateServiceDoesNotMakeItResign) {
  leader->has_valid_lease = false;
  EXPECT_EQ(end_intervals(30, 0, 0), std::nullopt);
}

TEST_F(WorkerReachabilityTest, ResignsWhenNeitherHeartbeatsNorPeerStatusesArrive) {
  leader->has_valid_lease = false;
  leader->has_recent_peer_status = false;
  EXPECT_EQ(end_intervals(30, 0, 0), ResignReason::no_worker_reports);
}

TEST_F(WorkerReachabilityTest, CountingBeginsAgainAfterAPauseOfTheProcess) {
  ASSERT_EQ(end_intervals(5, 1, 50), std::nullopt);
  clock.elapsed += 3 * constants::peer_heartbeat_interval;
  EXPECT_EQ(end_intervals(5, 1, 50), std::nullopt);
}

TEST_F(WorkerReachabilityTest, FollowerNeverResignsAndKeepsNoCounts) {
  leader.reset();
  EXPECT_EQ(end_intervals(30, 0, 50), std::nullopt);
  leader = LeaderObservation{.is_ready = true, .has_valid_lease = true, .responsive_machines = 10};
  EXPECT_EQ(end_intervals(3, 1, 0), std::nullopt);
}

TEST_F(WorkerReachabilityTest, RedirectedHeartbeatsAreCountedPerInterval) {
  reachability.count_redirected();
  reachability.count_redirected();
  EXPECT_EQ(reachability.redirected_in_interval(), 2u);
  reachability.end_interval(std::nullopt);
  EXPECT_EQ(reachability.redirected_in_interval(), 0u);
}

}  // namespace
}  // namespace poppystile::coordination
