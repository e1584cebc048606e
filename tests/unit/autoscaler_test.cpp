// Which machines a scaling pass rents and uncordons.
#include "planning/autoscaler/autoscaler.hpp"

#include <gtest/gtest.h>

#include <map>

#include "unit/planning_samples.hpp"

namespace poppystile::planning {
namespace {

// One machine type in one zone.
class AutoscalerOneTypeTest : public testing::Test {
 protected:
  AutoscalerOneTypeTest() {
    context.types = &types;
    context.teams = &teams;
  }
  ClusterState cluster_state;
  const std::vector<protocol::MachineType> types = {
      {"t", {16000, 0, 64000}, 50, 1, 1.0, 0.3, Seconds{20}, {"a"}}};
  const std::vector<protocol::TeamSettings> teams = {{"ops", 0, 0, 0, 0}};
  ScalingContext context;
};

// One type that boots quickly, and one that boots slowly and is cheaper per CPU.
class AutoscalerTwoTypesTest : public testing::Test {
 protected:
  AutoscalerTwoTypesTest() {
    context.types = &types;
    context.teams = &teams;
  }
  static JobSpec replica(const std::string& id) {
    JobSpec job = spec(id, JobKind::service, 1, Priority::production);
    job.task_resources = {4000, 0, 4000};
    job.spot = false;
    job.image_gb = 2.5;
    return job;
  }
  // The number of machines of each type that the plan rents.
  std::map<std::string, int> rented() const {
    std::map<std::string, int> counts;
    for (const auto& order : plan_scaling(cluster_state, context).rent)
      counts[order.offer.type] += order.count;
    return counts;
  }
  ClusterState cluster_state;
  const std::vector<protocol::MachineType> types = {
      {"quick", {16000, 0, 64000}, 50, 1, 0.9, 0.3, Seconds{35}, {"a"}},
      {"slow", {32000, 0, 64000}, 50, 0.2, 1.4, 0.4, Seconds{50}, {"a", "b"}}};
  const std::vector<protocol::TeamSettings> teams = {{"ops", 0, 0, 0, 0}};
  ScalingContext context;
};

// The quick type is rented for all waiting replicas, despite the surcharge on offers of which the
// fleet has many machines. Otherwise half of the replicas of a burst wait for slow boots.
TEST_F(AutoscalerTwoTypesTest, RentsTheQuickTypeForWaitingReplicas) {
  context.service_reserve = 0;
  for (int i = 0; i < 40; ++i) add(cluster_state, replica("req-" + std::to_string(i)));
  EXPECT_EQ(rented(), (std::map<std::string, int>{{"quick", 10}}));
}

// While replicas wait, the next ones use the reserve. If the reserve is rented in a slow type, each
// pass of a burst adds slow machines and the burst waits for their boots. Without waiting replicas,
// the reserve is rented in the cheaper type.
TEST_F(AutoscalerTwoTypesTest, ReservesTheQuickTypeOnlyWhileReplicasWait) {
  context.service_reserve = 0.5;
  for (int i = 0; i < 8; ++i) add(cluster_state, replica("req-" + std::to_string(i)));
  EXPECT_EQ(rented(), (std::map<std::string, int>{{"quick", 3}}));
  Machine& machine = add(cluster_state, "a1", 32);
  for (auto& [id, job] : cluster_state.jobs) cluster_state.place(machine, job, 1, {});
  EXPECT_EQ(rented(), (std::map<std::string, int>{{"slow", 1}}));
}

// A machine whose boot never finishes is released only after four boot times plus 30 s. If it
// counted as capacity until then, the tasks planned for it would wait.
TEST_F(AutoscalerTwoTypesTest, ReplacesOverdueBootsByAnotherType) {
  context.service_reserve = 0;
  for (int i = 0; i < 4; ++i) add(cluster_state, replica("req-" + std::to_string(i)));
  Machine& booting = add(cluster_state, "a1", 16);
  booting.type = "quick";
  booting.boot_time = Seconds{35};
  booting.incarnation = 0;
  booting.has_reported = booting.has_acknowledged_token = false;
  context.wall_now = wall_at(50);
  EXPECT_TRUE(rented().empty());
  context.wall_now = wall_at(53);
  EXPECT_EQ(rented(), (std::map<std::string, int>{{"slow", 1}}));
}

// A draining machine whose replicas fit nowhere else never becomes empty. If nothing can be rented,
// a job that needs the machine's capacity waits forever unless the machine is uncordoned.
TEST_F(AutoscalerOneTypeTest, UncordonsADrainingMachineForTasksWithoutCapacityOrAnOffer) {
  add(cluster_state, spec("req-1", JobKind::array, 4, Priority::normal));
  Machine& draining = add(cluster_state, "a1", 16);
  draining.draining = true;
  context.refused = {{"t", "a", true}, {"t", "a", false}};
  EXPECT_EQ(plan_scaling(cluster_state, context).uncordon, std::vector<std::string>{"a1"});
  cluster_state.jobs.at("req-1").record.spec.zone = "b";
  EXPECT_TRUE(plan_scaling(cluster_state, context).uncordon.empty());
}

TEST_F(AutoscalerOneTypeTest, RentsTheCheapestAllowedAndSkipsRefusedOffers) {
  JobSpec job = spec("req-1", JobKind::array, 8, Priority::normal);
  add(cluster_state, job);
  const ScalingPlan first = plan_scaling(cluster_state, context);
  ASSERT_EQ(first.rent.size(), 1u);
  EXPECT_TRUE(first.rent[0].offer.spot);
  context.refused.insert(first.rent[0].offer);
  const ScalingPlan second = plan_scaling(cluster_state, context);
  ASSERT_EQ(second.rent.size(), 1u);
  EXPECT_FALSE(second.rent[0].offer.spot);
}

}  // namespace
}  // namespace poppystile::planning
