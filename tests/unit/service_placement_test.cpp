/// \file
/// Tests of the choice of machines for replicas of services.
#include "planning/service_placement.hpp"

#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>

#include "constants.hpp"
#include "unit/planner_fixture.hpp"

namespace poppystile::planning {
namespace {

class ServicePlacementTest : public PlannerTest {};

TEST_F(ServicePlacementTest, AReplicaIsPlacedOnTheMachineWithItsImage) {
  add(cluster_state, spec("req-1", JobKind::service, 1, Priority::high));
  add(cluster_state, "a1", 32);
  add(cluster_state, "b1", 8).mark_image_used("img", 1);
  const Plan result = plan();
  ASSERT_EQ(result.placements.size(), 1u);
  EXPECT_EQ(result.placements[0].machine, "b1");
}

TEST_F(ServicePlacementTest, UsesSpotMachinesOnlyWhereAllowed) {
  JobSpec job_without_spot = spec("req-1", JobKind::service, 1, Priority::high);
  job_without_spot.spot = false;
  add(cluster_state, job_without_spot);
  add(cluster_state, "a1", 32).spot = true;
  EXPECT_TRUE(plan().placements.empty());
}

// Guards against all waiting replicas, each with an image of its own, being placed on the first
// machine that is up: over a slow link it fetches for long after other booting machines are up.
TEST_F(ServicePlacementTest, AReplicaWaitsForABootingMachineRatherThanForSlowFetches) {
  for (int i = 0; i < 4; ++i) {
    JobSpec replica = spec("req-" + std::to_string(i), JobKind::service, 1, Priority::high);
    replica.image = "img-" + std::to_string(i);
    add(cluster_state, replica);
  }
  add(cluster_state, "a1", 32).fetch_gb_per_s = 0.05;  // 20 s for each image
  Machine& booting = add(cluster_state, "b1", 32);
  booting.incarnation = 0;
  booting.has_reported = booting.has_acknowledged_token = false;
  booting.boot_time = Seconds{30};  // expected to be up after 31.5 s
  const auto placement_count = [&] { return plan().placements.size(); };
  // Further fetches on a1 would end after b1 is expected to be up.
  EXPECT_EQ(placement_count(), 1u);
  context.wall_now = wall_at(44);  // expected to be up within 1 s
  EXPECT_EQ(placement_count(), 0u);
  context.wall_now = wall_at(46);  // The machine is overdue, so no replica waits for it.
  EXPECT_EQ(placement_count(), 4u);
  booting.rented_at = context.wall_now = WallTime{constants::max_boot_wait + Seconds{1}};
  EXPECT_EQ(placement_count(), 4u);  // the jobs have waited longer than max_boot_wait
}

// One fetch serves all replicas of an image on a machine.
TEST_F(ServicePlacementTest, ReplicasOfOneImageArePlacedOnOneMachine) {
  for (int i = 0; i < 4; ++i) {
    JobSpec replica = spec("req-" + std::to_string(i), JobKind::service, 1, Priority::high);
    replica.image = "img-" + std::to_string(i % 2);
    add(cluster_state, replica);
  }
  add(cluster_state, "a1", 32).fetch_gb_per_s = 0.05;
  add(cluster_state, "b1", 32).fetch_gb_per_s = 0.05;
  std::map<std::string, std::set<std::string>> images;
  for (const auto& each : plan().placements)
    images[each.machine].insert(cluster_state.jobs.at(each.job).spec().image);
  EXPECT_EQ(images["a1"].size(), 1u);
  EXPECT_EQ(images["b1"].size(), 1u);
}

}  // namespace
}  // namespace poppystile::planning
