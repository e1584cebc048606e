/// \file
/// Tests of the placement of gangs as a whole, of preemption for gangs, and of preemption of gangs.
#include "planning/gang_placement.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>

#include "unit/planner_fixture.hpp"

namespace poppystile::planning {
namespace {

class GangPlacementTest : public PlannerTest {
 protected:
  Job& add_gang(const std::string& id, std::uint32_t tasks) {
    JobSpec job = spec(id, JobKind::gang, tasks, Priority::normal);
    job.one_zone = true;
    job.checkpoint_interval = Seconds{10};
    job.checkpoint_save_time = Seconds{3};
    add(cluster_state, job);
    return cluster_state.jobs.at(id);
  }
};

TEST_F(GangPlacementTest, AllTasksArePlacedInOneZoneOrNone) {
  add(cluster_state, "a1", 8);
  add(cluster_state, "b1", 8);
  add_gang("req-1", 6);
  EXPECT_TRUE(plan().placements.empty());  // 4 tasks fit in each zone
  add(cluster_state, "b2", 8);
  const auto result = plan();
  ASSERT_EQ(result.placements.size(), 6u);
  for (const auto& each : result.placements) EXPECT_EQ(each.machine[0], 'b');
}

TEST_F(GangPlacementTest, TheZoneWhereTheLastImageArrivesFirstIsChosen) {
  add(cluster_state, "a1", 8).mark_image_used("img", 1);
  add(cluster_state, "a2", 8);
  add(cluster_state, "b1", 8).mark_image_used("img", 1);
  add(cluster_state, "b2", 8).mark_image_used("img", 1);
  add_gang("req-1", 6);
  const auto result = plan();
  ASSERT_EQ(result.placements.size(), 6u);
  for (const auto& each : result.placements) EXPECT_EQ(each.machine[0], 'b');
}

// Two gangs that each hold half of the resources would wait for each other for ever.
TEST_F(GangPlacementTest, OfTwoGangsThatFitOnlyOneAtATimeOneIsPlacedWhole) {
  add(cluster_state, "a1", 16);
  add_gang("req-1", 6);
  add_gang("req-2", 6);
  const auto result = plan();
  ASSERT_EQ(result.placements.size(), 6u);
  for (const auto& each : result.placements) EXPECT_EQ(each.job, result.placements[0].job);
}

TEST_F(GangPlacementTest, SpreadLeavesHalfOfTheTasksToOtherZones) {
  add(cluster_state, "a1", 32);
  add(cluster_state, "b1", 32);
  Job& gang = add_gang("req-1", 5);
  gang.record.spec.one_zone = false;
  gang.record.spec.spread = true;
  const auto result = plan();
  ASSERT_EQ(result.placements.size(), 5u);
  EXPECT_EQ(std::count_if(result.placements.begin(), result.placements.end(),
                          [](const auto& each) { return each.machine == "a1"; }),
            3);
}

TEST_F(GangPlacementTest, TeamLimitHoldsForAllTasksTogether) {
  teams = {{"ops", 0, 10, 0, 0}};
  add(cluster_state, "a1", 32);
  add_gang("req-1", 6);
  EXPECT_TRUE(plan().placements.empty());
  teams = {{"ops", 0, 12, 0, 0}};
  EXPECT_EQ(plan().placements.size(), 6u);
}

TEST_F(GangPlacementTest, FreeResourcesAreReservedForAWaitingGangInPartOfEachPeriod) {
  add(cluster_state, "a1", 8);
  add(cluster_state, "a2", 8);
  Job& gang = add_gang("req-1", 6);
  add(cluster_state, spec("req-2", JobKind::array, 50, Priority::normal));
  add(cluster_state, spec("req-9", JobKind::array, 4, Priority::normal));
  for (int i = 0; i < 4; ++i)
    cluster_state.place(cluster_state.machines.at("a1"), cluster_state.jobs.at("req-9"), 1,
                        steady_at(0));
  EXPECT_TRUE(plan().placements.empty());
  // After the first part of the reservation period, nothing is reserved and single tasks are
  // placed.
  gang.record.accepted_at = wall_at(-50);
  EXPECT_FALSE(plan().placements.empty());
}

// Preempting one task of a gang stops all of them.
TEST_F(GangPlacementTest, SingleTasksArePreemptedBeforeAGang) {
  Machine& machine = add(cluster_state, "a1", 8);
  Job& gang = add_gang("req-1", 2);
  Job& array = [&]() -> Job& {
    add(cluster_state, spec("req-2", JobKind::array, 2, Priority::normal));
    return cluster_state.jobs.at("req-2");
  }();
  for (std::uint32_t i = 0; i < 2; ++i) cluster_state.restore(machine, array, i, 1, steady_at(0));
  for (std::uint32_t i = 0; i < 2; ++i) cluster_state.restore(machine, gang, i, 2, steady_at(9));
  gang.gang.phase = cluster::GangAttempt::Phase::assembling;
  gang.gang.number = 2;
  gang.gang.placed_at = steady_at(9);
  add(cluster_state, spec("req-3", JobKind::service, 1, Priority::production));
  const auto result = plan();
  ASSERT_EQ(result.preemptions.size(), 1u);
  EXPECT_EQ(result.preemptions[0].job, "req-2");
}

TEST_F(GangPlacementTest, AGangPreemptsForAllItsTasksOrForNone) {
  Machine& machine = add(cluster_state, "a1", 8);
  add(cluster_state, spec("req-2", JobKind::array, 4, Priority::low));
  for (std::uint32_t i = 0; i < 4; ++i)
    cluster_state.restore(machine, cluster_state.jobs.at("req-2"), i, 1, steady_at(0));
  Job& gang = add_gang("req-1", 5);
  EXPECT_TRUE(plan().preemptions.empty());
  gang.record.spec.tasks = 3;
  gang.phases.resize(3);
  EXPECT_EQ(plan().preemptions.size(), 3u);
}

}  // namespace
}  // namespace poppystile::planning
