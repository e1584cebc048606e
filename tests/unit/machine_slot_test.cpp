/// \file
/// Tests of the slots that the planner makes of machines, and of the tasks that it adds to them.
#include "planning/machine_slot.hpp"

#include <gtest/gtest.h>

#include "constants.hpp"
#include "unit/planning_samples.hpp"

namespace poppystile::planning {
namespace {

using cluster::PlacementPhase;

class MachineSlotTest : public testing::Test {
 protected:
  MachineSlotTest() : machine(add(cluster_state, "a1", 8)) {
    add(cluster_state, spec("array", JobKind::array, 10, Priority::normal));
    add(cluster_state, spec("service", JobKind::service, 10, Priority::normal));
  }
  cluster::Placement& place(const std::string& job) {
    return cluster_state.place(machine, cluster_state.jobs.at(job), ++attempts, steady_at(0));
  }
  MachineSlot slot(SteadyTime now = steady_at(0)) {
    return make_slot(machine, cluster_state, now, replicas);
  }

  ClusterState cluster_state;
  Machine& machine;
  ReplicaZones replicas;
  std::uint64_t attempts = 0;
};

TEST_F(MachineSlotTest, ServicesReduceTheCapacityForArrays) {
  place("array");
  place("service");
  EXPECT_EQ(slot().free.cpus, 4000);
  EXPECT_EQ(slot().array_capacity.cpus, 6000);
  EXPECT_GT(replicas.share_in("c", "a"), 0);
}

TEST_F(MachineSlotTest, LoadIsTheRemainingTimeOfArraysOverConcurrentTasks) {
  place("array").phase = PlacementPhase::running;
  EXPECT_DOUBLE_EQ(slot().load.count(), 5);              // 20 s remain, four tasks at a time
  EXPECT_DOUBLE_EQ(slot(steady_at(8)).load.count(), 3);  // 12 s remain
  // Runs longer than estimated: another quarter of the 20 s is assumed.
  EXPECT_DOUBLE_EQ(slot(steady_at(60)).load.count(), 1.25);
}

TEST_F(MachineSlotTest, StoppingTasksCountAsBeingFreed) {
  place("array").stopping = true;
  EXPECT_EQ(slot().free.cpus, 6000);
  EXPECT_EQ(slot().being_freed.cpus, 2000);
  EXPECT_EQ(slot().free_after_stops().cpus, 8000);
}

TEST_F(MachineSlotTest, OneFetchServesAllTasksOfAnImage) {
  place("array");
  place("service");
  const MachineSlot result = slot();
  EXPECT_EQ(result.pending_images, std::vector<std::string>{"img"});
  EXPECT_TRUE(result.has_cached_or_is_fetching("img"));
  EXPECT_EQ(result.replicas_awaiting_image, 1u);
}

TEST_F(MachineSlotTest, FetchesShareTheMachinesRate) {
  JobSpec job = spec("other", JobKind::service, 1, Priority::normal);
  job.image = "other";
  job.image_gb = 3;
  EXPECT_DOUBLE_EQ(image_fetch_time(slot(), job).count(), 3);
  place("service");  // fetches "img"
  EXPECT_DOUBLE_EQ(image_fetch_time(slot(), job).count(), 6);
  EXPECT_DOUBLE_EQ(image_fetch_time(slot(), job, 1).count(), 9);
  machine.mark_image_used("other", 3);
  EXPECT_DOUBLE_EQ(image_fetch_time(slot(), job).count(), 0);
}

TEST_F(MachineSlotTest, TaskCapacityIsLimitedByResourcesAndByCount) {
  const JobSpec job = spec("req-1", JobKind::array, 10, Priority::normal);
  MachineSlot result = slot();
  EXPECT_EQ(result.task_capacity(job), 4u);
  result.occupy(job);
  EXPECT_EQ(result.task_capacity(job), 3u);
  result.task_count = constants::max_tasks_per_machine - 1;
  EXPECT_EQ(result.task_capacity(job), 1u);
  result.task_count = constants::max_tasks_per_machine + 1;
  EXPECT_EQ(result.task_capacity(job), 0u);
}

TEST_F(MachineSlotTest, ABootingMachineIsExpectedMidwayThroughTheRangeOfItsBootTime) {
  machine.boot_time = Seconds{30};  // Expected to be up 18 s to 45 s after the rental.
  machine.rented_at = wall_at(100);
  EXPECT_DOUBLE_EQ(make_booting_slot(machine, wall_at(100))->ready_in.count(), 31.5);
  EXPECT_DOUBLE_EQ(make_booting_slot(machine, wall_at(125))->ready_in.count(), 10);
  EXPECT_FALSE(make_booting_slot(machine, wall_at(145)).has_value());
}

}  // namespace
}  // namespace poppystile::planning
