// The time up to which a controller has every cancellation, and how long after it a leader may keep
// worker leases alive.
#include "coordination/peers/cancellation_tracker.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "constants.hpp"
#include "unit/shared_state_fixture.hpp"

namespace poppystile::coordination {
namespace {

using protocol::PeerStatus;

constexpr Seconds max_clock_offset{0.05};

class CancellationTrackerTest : public SharedStateFixture {
 protected:
  void SetUp() override {
    settings.peers = {{"stile-1", "a", {}}, {"stile-2", "b", {}}};
    settings.worker_lease = Seconds{10};
    settings.cancel_timeout = Seconds{35};
    settings.max_clock_offset = max_clock_offset;
    load_shared_state();
    service.set_down(true);
    queue.run_until(20);
  }

  PeerStatus make_status(const std::string& name) const {
    PeerStatus status;
    status.name = name;
    status.incarnation = 7;
    status.started_at = caller.wall_now() - Seconds{100};
    status.sent_at = caller.wall_now();
    status.fresh_as_of_wall = caller.wall_now() - Seconds{15};
    return status;
  }
  // The latest time that a confirmation sent now can confirm, given the offset of the clocks.
  SteadyTime latest_confirmable() const { return caller.now() - 2 * max_clock_offset; }

  CancellationTracker tracker{caller, settings, shared_state};
};

TEST_F(CancellationTrackerTest, WithoutConfirmationsIsCompleteUpToTheFreshnessOfTheSharedState) {
  EXPECT_EQ(tracker.complete_until(), shared_state.fresh_as_of());
}

TEST_F(CancellationTrackerTest, ConfirmationsOfAllPeersMakeItCompleteUpToNow) {
  tracker.confirm(make_status("stile-1"));
  EXPECT_LT(tracker.complete_until(), latest_confirmable() - Seconds{10});
  tracker.confirm(make_status("stile-2"));
  EXPECT_EQ(tracker.complete_until(), latest_confirmable());
}

TEST_F(CancellationTrackerTest, SharedStateOfOnePeerMakesItCompleteUpToItsFreshness) {
  PeerStatus status = make_status("stile-1");
  status.fresh_as_of_wall = caller.wall_now() - Seconds{1};
  tracker.confirm(status);
  EXPECT_EQ(tracker.complete_until(), latest_confirmable() - Seconds{1});
}

TEST_F(CancellationTrackerTest, IncompleteStatusConfirmsNothing) {
  PeerStatus incomplete = make_status("stile-1");
  incomplete.cancelled_is_complete = false;
  incomplete.fresh_as_of_wall = caller.wall_now();
  tracker.confirm(incomplete);
  tracker.confirm(make_status("stile-2"));
  EXPECT_LT(tracker.complete_until(), latest_confirmable() - Seconds{10});
}

TEST_F(CancellationTrackerTest, RestartedPeerConfirmsOnlyOnceItHasLoadedTheSharedState) {
  tracker.confirm(make_status("stile-2"));
  PeerStatus restarted = make_status("stile-1");
  restarted.incarnation = 8;
  restarted.started_at = caller.wall_now();
  restarted.fresh_as_of_wall = {};
  tracker.confirm(restarted);
  EXPECT_LT(tracker.complete_until(), latest_confirmable() - Seconds{10});
  restarted.fresh_as_of_wall = caller.wall_now() - Seconds{15};
  tracker.confirm(restarted);
  EXPECT_EQ(tracker.complete_until(), latest_confirmable());
}

TEST_F(CancellationTrackerTest, AppliesCancellationsListedByAPeer) {
  PeerStatus status = make_status("stile-1");
  status.cancelled = {"req-1"};
  tracker.apply(status);
  EXPECT_TRUE(shared_state.cancelled().contains("req-1"));
}

TEST_F(CancellationTrackerTest, AdvertisesAllCancelledJobsAndTheirFreshness) {
  shared_state.apply_cancellation("req-1");
  shared_state.apply_cancellation("req-2");
  PeerStatus status;
  tracker.advertise(status);
  EXPECT_EQ(status.cancelled, (std::vector<std::string>{"req-1", "req-2"}));
  EXPECT_TRUE(status.cancelled_is_complete);
  EXPECT_EQ(status.fresh_as_of_wall, shared_state.fresh_as_of_wall());
}

TEST_F(CancellationTrackerTest, MarksAStatusWithTooManyCancelledJobsAsIncomplete) {
  for (std::size_t job = 0; job <= constants::max_advertised_cancellations; ++job)
    shared_state.apply_cancellation("req-" + std::to_string(job));
  PeerStatus status;
  tracker.advertise(status);
  EXPECT_EQ(status.cancelled.size(), constants::max_advertised_cancellations);
  EXPECT_FALSE(status.cancelled_is_complete);
}

TEST_F(CancellationTrackerTest, ResponsesEndEarlyEnoughForLeasesToExpireWithinTheCancelTimeout) {
  const SteadyTime lease_expires =
      tracker.response_deadline() + settings.worker_lease * (1 + constants::clock_drift);
  EXPECT_LT(lease_expires, tracker.complete_until() + settings.cancel_timeout);
}

TEST_F(CancellationTrackerTest, LeaderThatHasNotReplayedTheJournalMayRespondForAShareOfTheBudget) {
  const Seconds response_budget = tracker.response_deadline() - tracker.complete_until();
  const SteadyTime won_campaign_started_at = caller.now();
  const Seconds unready_budget =
      tracker.response_deadline_before_replay(won_campaign_started_at) - won_campaign_started_at;
  EXPECT_NEAR(unready_budget.count(),
              (response_budget * constants::response_share_before_replay).count(), 1e-9);
}

}  // namespace
}  // namespace poppystile::coordination
