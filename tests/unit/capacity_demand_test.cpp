// The capacity that jobs need, the reserves, and the packing order.
#include "planning/autoscaler/capacity_demand.hpp"

#include <gtest/gtest.h>

#include "unit/planning_samples.hpp"

namespace poppystile::planning {
namespace {

class CapacityDemandTest : public testing::Test {
 protected:
  CapacityDemandTest() {
    context.types = &types;
    context.teams = &teams;
    context.service_reserve = 0;
    context.wall_now = wall_at(1000);
  }
  CapacityDemand demand() const { return measure_demand(cluster_state, context); }

  ClusterState cluster_state;
  const std::vector<protocol::MachineType> types;
  std::vector<protocol::TeamSettings> teams = {{"ops", 0, 0, 0, 0}};
  ScalingContext context;
};

TEST_F(CapacityDemandTest, OrdersServicesFirstThenByPriorityAndId) {
  add(cluster_state, spec("b", JobKind::array, 1, Priority::normal));
  add(cluster_state, spec("a", JobKind::array, 1, Priority::normal));
  add(cluster_state, spec("c", JobKind::array, 1, Priority::high));
  add(cluster_state, spec("d", JobKind::service, 1, Priority::low));
  std::vector<std::string> ids;
  for (const auto& tasks : demand().tasks) ids.push_back(tasks.spec.id);
  EXPECT_EQ(ids, (std::vector<std::string>{"d", "c", "a", "b"}));
}

TEST_F(CapacityDemandTest, PermitsNoMoreThanTheTeamsLimit) {
  teams[0].cpus_max = 5;
  add(cluster_state, spec("a", JobKind::service, 4, Priority::normal));  // 2 CPUs per task
  const CapacityDemand limited = demand();
  ASSERT_EQ(limited.tasks.size(), 1u);
  EXPECT_EQ(limited.tasks[0].wanted, 4u);
  EXPECT_EQ(limited.tasks[0].permitted, 2u);
  EXPECT_EQ(limited.cpus, 4000);
}

TEST_F(CapacityDemandTest, TasksOfAnArrayShareCapacityInAsManyRoundsAsItsDeadlineAllows) {
  JobSpec array = spec("a", JobKind::array, 8, Priority::normal);  // 20 s per task
  array.deadline = Seconds{40};
  add(cluster_state, array);
  Job& job = cluster_state.jobs.at("a");
  job.record.accepted_at = wall_at(1000);
  EXPECT_EQ(tasks_wanted_at_once(job, wall_at(1000)), 4u);
  EXPECT_EQ(tasks_wanted_at_once(job, wall_at(1020)), 8u);
}

TEST_F(CapacityDemandTest, KeepsAReserveForTheNextServices) {
  add(cluster_state, spec("a", JobKind::service, 4, Priority::normal));
  context.service_reserve = 0.5;
  const CapacityDemand with_reserve = demand();
  ASSERT_EQ(with_reserve.tasks.size(), 2u);
  EXPECT_EQ(with_reserve.tasks[1].purpose, DemandPurpose::reserve);
  EXPECT_EQ(with_reserve.tasks[1].permitted, 2u);
  EXPECT_TRUE(with_reserve.tasks[1].prefer_quick_start);
}

TEST_F(CapacityDemandTest, KeepsCapacityForTheNextGangForALimitedTime) {
  storage::JobRecord record;
  record.spec = spec("a", JobKind::gang, 6, Priority::normal);
  record.accepted_at = wall_at(1000);
  cluster_state.record_recent_gang(record);
  ASSERT_EQ(demand().tasks.size(), 1u);
  EXPECT_EQ(demand().tasks[0].permitted, 6u);
  context.wall_now = wall_at(1120);
  EXPECT_TRUE(demand().tasks.empty());
}

TEST_F(CapacityDemandTest, CountsCpusInUseAndSkipsCancelledJobs) {
  add(cluster_state, spec("a", JobKind::service, 1, Priority::normal));
  cluster_state.place(add(cluster_state, "a1", 16), cluster_state.jobs.at("a"), 1, {});
  cluster_state.jobs.at("a").record.cancelled = true;
  EXPECT_TRUE(demand().tasks.empty());
  EXPECT_EQ(demand().cpus, 2000);
}

// Guards against counting capacity in zones where the waiting tasks may not run.
TEST_F(CapacityDemandTest, WaitingTasksOfAOneZoneJobNeedTheZoneOfItsPlacedTasks) {
  JobSpec array = spec("a", JobKind::array, 2, Priority::normal);
  array.one_zone = true;
  add(cluster_state, array);
  EXPECT_EQ(demand().tasks.at(0).spec.zone, std::nullopt);
  cluster_state.place(add(cluster_state, "b1", 2), cluster_state.jobs.at("a"), 1, steady_at(0));
  EXPECT_EQ(demand().tasks.at(0).spec.zone, "b");
}

}  // namespace
}  // namespace poppystile::planning
