#include "coordination/leader/replica_rebalancer.hpp"

#include "constants.hpp"
#include "unit/leader_parts_fixture.hpp"

namespace poppystile::coordination {
namespace {

class ReplicaRebalancerTest : public LeaderPartsFixture {
 protected:
  // Places `count` running replicas of a new service on the machine.
  void run_replicas(Machine& machine, std::uint32_t count) {
    Job& job = add_job("req-1", JobKind::service, count);
    for (std::uint32_t i = 0; i < count; ++i) place(machine, job).phase = PlacementPhase::running;
  }
  static std::size_t stopping(const Machine& machine) {
    return static_cast<std::size_t>(
        std::count_if(machine.placements.begin(), machine.placements.end(),
                      [](const Placement& each) { return each.stopping; }));
  }

  ReplicaRebalancer rebalancer{caller, cluster_state, settings};
};

TEST_F(ReplicaRebalancerTest, MovesOneReplicaAtATimeOffADrainingMachine) {
  Machine& machine = add_machine("a1", 200);
  run_replicas(machine, 80);
  rebalancer.run_pass();
  EXPECT_EQ(stopping(machine), 0u);
  machine.draining = true;
  rebalancer.run_pass();
  EXPECT_EQ(stopping(machine), 1u);
  rebalancer.run_pass();
  EXPECT_EQ(stopping(machine), 1u);
  // A move stops a replica for 4 s (2 heartbeat intervals of 2 s). At most 0.5% of the run time of
  // 80 replicas may be lost, so one move is allowed every 10 s.
  advance(Seconds{10});
  rebalancer.run_pass();
  EXPECT_EQ(stopping(machine), 2u);
}

TEST_F(ReplicaRebalancerTest, FewReplicasAreNotMoved) {
  Machine& machine = add_machine("a1");
  run_replicas(machine, 3);
  machine.draining = true;
  rebalancer.run_pass();
  EXPECT_EQ(stopping(machine), 0u);
}

}  // namespace
}  // namespace poppystile::coordination
