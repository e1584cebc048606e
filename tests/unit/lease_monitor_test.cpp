#include "coordination/leader/lease_monitor.hpp"

#include "constants.hpp"
#include "coordination/election/lease_time.hpp"
#include "unit/leader_parts_fixture.hpp"

namespace poppystile::coordination {
namespace {

class LeaseMonitorTest : public LeaderPartsFixture {
 protected:
  LeaseMonitor leases{
      caller, cluster_state, election, reconciler, health, settings, [this] { ++plan_requests; }};
};

TEST_F(LeaseMonitorTest, HeartbeatsAreOverdueLongBeforeTheLeaseExpires) {
  Machine& machine = add_machine("a1");
  leases.check();
  EXPECT_FALSE(machine.is_overdue);
  advance(constants::overdue_heartbeats * settings.heartbeat_interval + constants::overdue_slack +
          Seconds{0.1});
  leases.check();
  EXPECT_TRUE(machine.is_overdue);
  EXPECT_FALSE(machine.lease_expired);
}

TEST_F(LeaseMonitorTest, ExpiredLeaseEvictsTheTasksOnce) {
  Machine& machine = add_machine("a1");
  Job& job = add_job("req-1", JobKind::array, 1);
  place(machine, job);
  advance(with_clock_drift(settings.worker_lease));
  leases.check();
  EXPECT_FALSE(machine.lease_expired);
  EXPECT_EQ(job.waiting(), 0u);
  advance(Seconds{0.1});
  leases.check();
  EXPECT_TRUE(machine.lease_expired);
  EXPECT_FALSE(machine.has_reported);
  EXPECT_EQ(job.waiting(), 1u);
  const int requests = plan_requests;
  EXPECT_GT(requests, 0);
  leases.check();
  EXPECT_EQ(plan_requests, requests);
}

TEST_F(LeaseMonitorTest, ExpiredLeaseOfAWorkerWithoutTheLeadersTokenEvictsNoTask) {
  Machine& machine = add_machine("a1");
  machine.has_acknowledged_token = false;
  machine.has_been_answered = true;
  Job& job = add_job("req-1", JobKind::array, 1);
  place(machine, job);
  advance(with_clock_drift(settings.worker_lease) + Seconds{0.1});
  leases.check();
  EXPECT_TRUE(machine.lease_expired);
  EXPECT_EQ(job.waiting(), 0u);
}

TEST_F(LeaseMonitorTest, TasksAreEvictedOnceTheLeasesOfFormerLeadersHaveExpired) {
  // The election was at time 0, more than the cancel timeout ago.
  Machine& machine = add_machine("a1");
  machine.has_reported = machine.has_acknowledged_token = false;
  Job& job = add_job("req-1", JobKind::array, 1);
  place(machine, job);
  ASSERT_GT(caller.now(),
            election.won_campaign_started_at() + with_clock_drift(settings.cancel_timeout));
  leases.check();
  EXPECT_EQ(job.waiting(), 1u);
}

TEST_F(LeaseMonitorTest, MachineThatNeverSentAHeartbeatHasNoLease) {
  Machine& machine = add_machine("a1");
  machine.incarnation = 0;
  advance(2 * settings.worker_lease);
  leases.check();
  EXPECT_FALSE(machine.lease_expired);
  EXPECT_FALSE(machine.is_overdue);
}

}  // namespace
}  // namespace poppystile::coordination
