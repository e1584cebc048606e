// Decoding of peers' statuses, detection of superseded ones, and the queries that the newest
// statuses answer: whether one is recent, whether a peer reaches the state service, and a job's
// task counts.
#include "coordination/peers/peer_monitor.hpp"

#include <gtest/gtest.h>

#include "constants.hpp"
#include "unit/fake_clock.hpp"

namespace poppystile::coordination {
namespace {

using protocol::PeerStatus;

class PeerMonitorTest : public testing::Test {
 protected:
  static protocol::Settings make_settings() {
    protocol::Settings settings;
    settings.name = "stile-0";
    settings.peers = {{"stile-1", "a", {}}, {"stile-2", "b", {}}};
    return settings;
  }

  PeerStatus make_status(const std::string& name) const {
    PeerStatus status;
    status.name = name;
    status.sent_at = clock.wall_now();
    return status;
  }

  FakeClock clock;
  protocol::Settings settings = make_settings();
  PeerMonitor monitor{clock, settings};
};

TEST_F(PeerMonitorTest, DecodesStatusesOfConfiguredPeersOnly) {
  const auto decoded = monitor.decode(protocol::encode_peer_status(make_status("stile-1")));
  ASSERT_TRUE(decoded.has_value());
  EXPECT_EQ(decoded->name, "stile-1");
  EXPECT_FALSE(monitor.decode(protocol::encode_peer_status(make_status("stile-9"))));
  EXPECT_FALSE(monitor.decode("not a status"));
}

TEST_F(PeerMonitorTest, OlderStatusOfTheSamePeerIsSuperseded) {
  const PeerStatus older_status = make_status("stile-1");
  clock.elapsed += Seconds{1};
  EXPECT_FALSE(monitor.is_superseded(older_status));
  monitor.record(make_status("stile-1"));
  EXPECT_TRUE(monitor.is_superseded(older_status));
  PeerStatus other_peer_status = older_status;
  other_peer_status.name = "stile-2";
  EXPECT_FALSE(monitor.is_superseded(other_peer_status));
}

TEST_F(PeerMonitorTest, PeerStatusIsRecentUpToItsMaximumAge) {
  EXPECT_FALSE(monitor.has_recent_peer_status());
  monitor.record(make_status("stile-1"));
  clock.elapsed += constants::max_peer_status_age - Seconds{0.1};
  EXPECT_TRUE(monitor.has_recent_peer_status());
  clock.elapsed += Seconds{0.2};
  EXPECT_FALSE(monitor.has_recent_peer_status());
}

TEST_F(PeerMonitorTest, ReportsWhetherAnyPeerReachesTheStateService) {
  PeerStatus status = make_status("stile-1");
  status.state_contact_at = clock.wall_now() - constants::state_contact_stale_after;
  monitor.record(status);
  EXPECT_FALSE(monitor.any_peer_reaches_state_service());
  PeerStatus recent_contact_status = make_status("stile-2");
  recent_contact_status.state_contact_at = clock.wall_now() - Seconds{1};
  monitor.record(recent_contact_status);
  EXPECT_TRUE(monitor.any_peer_reaches_state_service());
}

TEST_F(PeerMonitorTest, KeepsTheTaskCountsOfTheLeadersNewestStatus) {
  PeerStatus leader_status = make_status("stile-1");
  leader_status.is_leader = true;
  leader_status.counts = {{"req-1", 4, 2}};
  monitor.record(leader_status);
  monitor.record(make_status("stile-2"));
  const auto counts = monitor.advertised_counts("req-1");
  ASSERT_TRUE(counts.has_value());
  EXPECT_EQ(counts->done, 4u);
  EXPECT_EQ(counts->running, 2u);
  leader_status.counts = {{"req-2", 1, 0}};
  monitor.record(leader_status);
  EXPECT_FALSE(monitor.advertised_counts("req-1").has_value());
}

}  // namespace
}  // namespace poppystile::coordination
