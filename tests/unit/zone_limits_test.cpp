/// \file
/// Tests of the zone limits by `one_zone` and `spread`, and of the counts of replicas by zone.
#include "planning/zone_limits.hpp"

#include <gtest/gtest.h>

#include "planning/replica_zones.hpp"
#include "unit/planning_samples.hpp"

namespace poppystile::planning {
namespace {

class ZoneLimitsTest : public testing::Test {
 protected:
  ZoneLimitsTest() { job = spec("req-1", JobKind::array, 5, Priority::normal); }

  ClusterState cluster_state;
  JobSpec job;
};

TEST_F(ZoneLimitsTest, AnUnconstrainedJobMayHaveAllTasksInAnyZone) {
  add(cluster_state, job);
  ZoneLimits limits(cluster_state);
  limits.add(job, "a");
  EXPECT_EQ(limits.remaining_tasks(job, "a"), 5u);
  EXPECT_EQ(limits.remaining_tasks(job, "b"), 5u);
}

TEST_F(ZoneLimitsTest, AOneZoneJobIsLimitedToTheZoneOfItsFirstTask) {
  job.one_zone = true;
  add(cluster_state, job);
  Machine& machine = add(cluster_state, "a1", 8);
  cluster_state.place(machine, cluster_state.jobs.at("req-1"), 1, steady_at(0));
  ZoneLimits limits(cluster_state);
  EXPECT_TRUE(limits.allows(job, "a"));
  EXPECT_FALSE(limits.allows(job, "b"));
}

TEST_F(ZoneLimitsTest, ASpreadJobHasAtMostHalfOfItsTasksInAZone) {
  job.spread = true;
  add(cluster_state, job);
  ZoneLimits limits(cluster_state);
  EXPECT_EQ(limits.remaining_tasks(job, "a"), 3u);
  for (int i = 0; i < 3; ++i) limits.add(job, "a");
  EXPECT_FALSE(limits.allows(job, "a"));
  EXPECT_EQ(limits.remaining_tasks(job, "b"), 3u);
}

TEST(ReplicaZones, ShareIncludesTheNextReplicaInTheTotal) {
  ReplicaZones zones;
  EXPECT_DOUBLE_EQ(zones.share_in("c", "a"), 0);
  zones.add("c", "a");
  zones.add("c", "a");
  zones.add("c", "b");
  EXPECT_DOUBLE_EQ(zones.share_in("c", "a"), 0.5);
  EXPECT_DOUBLE_EQ(zones.share_in("c", "b"), 0.25);
  EXPECT_DOUBLE_EQ(zones.share_in("c", "d"), 0);
  EXPECT_DOUBLE_EQ(zones.share_in("other", "a"), 0);
}

}  // namespace
}  // namespace poppystile::planning
