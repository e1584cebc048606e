/// \file
/// Jobs, machines and the placements that connect them.
#include "cluster/cluster_state.hpp"

#include <gtest/gtest.h>

#include "constants.hpp"

namespace poppystile::cluster {
namespace {

class ClusterStateTest : public testing::Test {
 protected:
  ClusterStateTest() {
    machine.id = "n-1";
    machine.cache_gb = 10;
    JobSpec spec;
    spec.id = "req-1";
    spec.team = "vision";
    spec.tasks = 3;
    spec.task_resources.cpus = 2;
    job.record.spec = spec;
    job.phases.resize(spec.tasks);
  }

  ClusterState cluster_state;
  Machine& machine = cluster_state.machines["n-1"];
  Job& job = cluster_state.jobs["req-1"];
};

TEST_F(ClusterStateTest, PlacingATaskAddsToMachineAndTeamUsage) {
  cluster_state.place(machine, job, 7, SteadyTime{});
  EXPECT_EQ(machine.used.cpus, 2);
  EXPECT_EQ(cluster_state.teams["vision"].used.cpus, 2);
  EXPECT_EQ(job.waiting(), 2u);
  ASSERT_NE(machine.find("req-1", 0, 7), nullptr);
  EXPECT_EQ(machine.find("req-1", 0, 8), nullptr);
}

TEST_F(ClusterStateTest, ReleasingResourcesTwiceSubtractsThemOnce) {
  Placement& placement = cluster_state.place(machine, job, 7, SteadyTime{});
  placement.phase = PlacementPhase::running;
  job.running = 1;
  for (int i = 0; i < 2; ++i) cluster_state.release_resources(machine, placement);
  EXPECT_EQ(placement.phase, PlacementPhase::exited);
  EXPECT_EQ(machine.used.cpus, 0);
  EXPECT_EQ(cluster_state.teams["vision"].used.cpus, 0);
  EXPECT_EQ(job.running, 0u);
}

TEST_F(ClusterStateTest, ARequeuedTaskIsPlacedFirst) {
  for (int i = 0; i < 2; ++i) cluster_state.place(machine, job, 7, SteadyTime{});
  job.requeue(0);
  EXPECT_EQ(job.waiting(), 2u);
  EXPECT_EQ(job.place_next_waiting_task(machine), 0u);
  EXPECT_EQ(job.place_next_waiting_task(machine), 2u);
}

TEST_F(ClusterStateTest, FinishedTasksAreNotPlaced) {
  job.finish(0);
  EXPECT_EQ(job.place_next_waiting_task(machine), 1u);
  EXPECT_FALSE(job.all_finished());
  job.finish_all();
  EXPECT_TRUE(job.all_finished());
  EXPECT_EQ(job.waiting(), 0u);
}

TEST_F(ClusterStateTest, AJobThatFailsEverywhereMayPlaceOnlyAFewTasks) {
  job.record.spec.tasks = 100;
  job.phases.resize(100);
  EXPECT_EQ(job.schedulable_tasks(), 100u);
  job.retry_pause = Seconds{1};
  EXPECT_EQ(job.schedulable_tasks(), constants::max_retrying_tasks);
  job.reset_failures();
  EXPECT_EQ(job.schedulable_tasks(), 100u);
}

TEST_F(ClusterStateTest, ExitedPlacementsAreNotVisited) {
  cluster_state.place(machine, job, 7, SteadyTime{});
  cluster_state.place(machine, job, 7, SteadyTime{});
  cluster_state.release_resources(machine, machine.placements.front());
  std::vector<std::uint32_t> visited;
  job.for_each_placement(
      [&](Placement& visited_placement) { visited.push_back(visited_placement.index); });
  EXPECT_EQ(visited, std::vector<std::uint32_t>{1});
}

TEST_F(ClusterStateTest, LostTasksOfAnAssemblingGangAreReplacedOnceAllMachinesReported) {
  cluster_state.place(machine, job, 7, SteadyTime{});
  job.gang.phase = GangAttempt::Phase::assembling;
  job.gang.placed_at = SteadyTime{Seconds{10}};
  job.gang.task_lost_at = SteadyTime{Seconds{12}};
  const SteadyTime now{Seconds{15}};
  machine.last_heartbeat_at = SteadyTime{Seconds{11}};
  EXPECT_FALSE(job.may_replace_tasks(now, Seconds{20}));
  machine.last_heartbeat_at = SteadyTime{Seconds{13}};
  EXPECT_TRUE(job.may_replace_tasks(now, Seconds{20}));
  EXPECT_FALSE(job.may_replace_tasks(now, Seconds{4}));
  job.gang.phase = GangAttempt::Phase::running;
  EXPECT_FALSE(job.may_replace_tasks(now, Seconds{20}));
}

TEST_F(ClusterStateTest, AFullCacheEvictsTheLeastRecentlyUsedImage) {
  machine.mark_image_used("a", 4);
  machine.mark_image_used("b", 4);
  machine.mark_image_used("a", 4);
  machine.mark_image_used("c", 5);
  EXPECT_TRUE(machine.has_cached("a"));
  EXPECT_FALSE(machine.has_cached("b"));
  EXPECT_TRUE(machine.has_cached("c"));
}

}  // namespace
}  // namespace poppystile::cluster
