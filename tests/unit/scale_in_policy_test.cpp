// Selection of the machines to drain, uncordon and release.
#include "planning/autoscaler/scale_in_policy.hpp"

#include <gtest/gtest.h>

#include "unit/planning_samples.hpp"

namespace poppystile::planning {
namespace {

using Ids = std::vector<std::string>;

class ScaleInPolicyTest : public testing::Test {
 protected:
  ScaleInPolicyTest() {
    context.types = &types;
    context.teams = &teams;
    add(cluster_state, spec("web", JobKind::service, 8, Priority::production));  // 2 CPUs per task
  }
  Ids machines_to_drain() {
    std::vector<Bin> bins = measure_supply(cluster_state, context).bins;
    return ScaleInPolicy(cluster_state, context, bins).choose_machines_to_drain();
  }
  // Starts a replica on a machine, which then caches its image.
  void place_replica(Machine& machine) {
    machine.mark_image_used("img", 1);
    cluster_state.place(machine, cluster_state.jobs.at("web"), 1, {});
  }

  ClusterState cluster_state;
  const std::vector<protocol::MachineType> types = {
      {"t", {16000, 0, 64000}, 50, 1, 1.0, 0.3, Seconds{20}, {"a", "b"}}};
  const std::vector<protocol::TeamSettings> teams = {{"ops", 0, 0, 0, 0}};
  ScalingContext context;
};

TEST_F(ScaleInPolicyTest, DrainsOnlyMachinesBeyondTheRecentPeak) {
  add(cluster_state, "a1", 16);
  add(cluster_state, "a2", 16);
  context.peak_cpus = 16000;  // Plus 10% headroom
  EXPECT_EQ(machines_to_drain(), Ids{});
  context.peak_cpus = 14000;
  EXPECT_EQ(machines_to_drain(), Ids{"a1"});
}

TEST_F(ScaleInPolicyTest, DrainsTheMachineWithTheHighestPriceFirst) {
  add(cluster_state, "a1", 16).spot = true;
  add(cluster_state, "a2", 16);
  EXPECT_EQ(machines_to_drain(), Ids{"a2"});
}

TEST_F(ScaleInPolicyTest, DrainsAMachineWithReplicasOnlyIfTheyFitElsewhere) {
  place_replica(add(cluster_state, "a1", 16));
  EXPECT_EQ(machines_to_drain(), Ids{});
  Machine& other_machine = add(cluster_state, "a2", 16);
  place_replica(other_machine);
  place_replica(other_machine);
  EXPECT_EQ(machines_to_drain(), Ids{"a1"});
}

TEST_F(ScaleInPolicyTest, KeepsAMachineThatHasSentNoHeartbeat) {
  add(cluster_state, "a1", 16).has_reported = false;
  EXPECT_EQ(machines_to_drain(), Ids{});
}

TEST_F(ScaleInPolicyTest, UncordonsAllDrainingMachinesInsteadOfRenting) {
  add(cluster_state, "a1", 16).draining = true;
  add(cluster_state, "a2", 16);
  EXPECT_EQ(choose_machines_to_uncordon(cluster_state, {}, true, {}), Ids{"a1"});
  EXPECT_EQ(choose_machines_to_uncordon(cluster_state, {}, false, {}), Ids{});
}

TEST_F(ScaleInPolicyTest, FindsDrainedMachinesThatAreNotBeingReleased) {
  Machine& machine = add(cluster_state, "a1", 16);
  machine.draining = true;
  EXPECT_EQ(find_drained_machines(cluster_state), Ids{"a1"});
  machine.releasing = true;
  EXPECT_EQ(find_drained_machines(cluster_state), Ids{});
  machine.releasing = false;
  place_replica(machine);
  EXPECT_EQ(find_drained_machines(cluster_state), Ids{});
}

}  // namespace
}  // namespace poppystile::planning
