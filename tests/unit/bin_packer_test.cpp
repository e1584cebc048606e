// Packing demand into the fleet's free capacity and into machines to be rented.
#include "planning/autoscaler/bin_packer.hpp"

#include <gtest/gtest.h>

#include "unit/planning_samples.hpp"

namespace poppystile::planning {
namespace {

class BinPackerTest : public testing::Test {
 protected:
  BinPackerTest() {
    context.types = &types;
    context.teams = &teams;
  }
  BinPacker make_packer() const {
    return {measure_supply(cluster_state, context), types, selector};
  }
  static TaskDemand demand_for(const JobSpec& job) { return {job, job.tasks, job.tasks}; }

  ClusterState cluster_state;
  const std::vector<protocol::MachineType> types = {
      {"t", {16000, 0, 64000}, 50, 1, 1.0, 0.3, Seconds{20}, {"a", "b"}}};
  const std::vector<protocol::TeamSettings> teams = {{"ops", 0, 0, 0, 0}};
  ScalingContext context;
  std::set<Offer> refused;
  OfferSelector selector{types, refused};
};

TEST_F(BinPackerTest, UsesFreeCapacityFirst) {
  add(cluster_state, "a1", 16);
  BinPacker packer = make_packer();
  const TaskDemand demand = demand_for(spec("req-1", JobKind::array, 8, Priority::normal));
  packer.pack(demand);
  EXPECT_TRUE(packer.missing_machines().empty());
  ASSERT_EQ(packer.bins().size(), 1u);
  EXPECT_EQ(packer.bins()[0].free_resources.cpus, 0);
}

TEST_F(BinPackerTest, CountsPendingRentalsAsCapacity) {
  context.pending = {{{"t", "a", true}, 1}};
  BinPacker packer = make_packer();
  const TaskDemand demand = demand_for(spec("req-1", JobKind::array, 9, Priority::normal));
  packer.pack(demand);
  ASSERT_EQ(packer.missing_machines().size(), 1u);
  EXPECT_EQ(packer.missing_machines().begin()->second, 1);
}

TEST_F(BinPackerTest, ReportsWaitingTasksWithoutAnOffer) {
  refused = {{"t", "a", true}, {"t", "a", false}, {"t", "b", true}, {"t", "b", false}};
  BinPacker packer = make_packer();
  TaskDemand waiting = demand_for(spec("req-1", JobKind::array, 1, Priority::normal));
  TaskDemand reserve = waiting;
  reserve.purpose = DemandPurpose::reserve;
  packer.pack(waiting);
  packer.pack(reserve);
  EXPECT_EQ(packer.unplaced(), std::vector<const TaskDemand*>{&waiting});
}

TEST_F(BinPackerTest, RentsForAGangInTheZoneWithTheMostCapacity) {
  add(cluster_state, "b1", 16);
  JobSpec gang = spec("req-1", JobKind::gang, 12, Priority::normal);
  gang.one_zone = true;
  BinPacker packer = make_packer();
  const TaskDemand demand = demand_for(gang);
  packer.pack(demand);
  EXPECT_EQ(packer.missing_machines(), (std::map<Offer, int>{{{"t", "b", true}, 1}}));
}

TEST_F(BinPackerTest, AvoidsAZoneWithTooLittleCapacityWhereNothingCanBeRented) {
  add(cluster_state, "b1", 16);
  refused = {{"t", "b", true}, {"t", "b", false}};
  JobSpec gang = spec("req-1", JobKind::gang, 12, Priority::normal);
  gang.one_zone = true;
  BinPacker packer = make_packer();
  const TaskDemand demand = demand_for(gang);
  packer.pack(demand);
  EXPECT_EQ(packer.missing_machines(), (std::map<Offer, int>{{{"t", "a", true}, 2}}));
}

// Guards against counting free capacity of several zones for a job that can use only one of them.
TEST_F(BinPackerTest, RentsForAOneZoneArrayInTheZoneThatHasCapacity) {
  add(cluster_state, "a1", 4);
  add(cluster_state, "b1", 16);
  JobSpec array = spec("req-1", JobKind::array, 10, Priority::normal);
  array.one_zone = true;
  BinPacker packer = make_packer();
  const TaskDemand demand = demand_for(array);
  packer.pack(demand);
  EXPECT_EQ(packer.missing_machines(), (std::map<Offer, int>{{{"t", "b", true}, 1}}));
}

}  // namespace
}  // namespace poppystile::planning
