// The history of demand, the reasons for releasing machines, and the batches of releases.
#include "coordination/fleet/scale_in.hpp"

#include <gtest/gtest.h>

#include "constants.hpp"
#include "coordination/fleet/demand_history.hpp"
#include "unit/fleet_fixture.hpp"

namespace poppystile::coordination {
namespace {

TEST(DemandHistoryTest, PeakDiscardsOldSamples) {
  const SteadyTime start{Seconds{100}};
  DemandHistory history;
  EXPECT_EQ(history.peak(start, Seconds{40}), 0);
  history.record(start, 5000);
  history.record(start + Seconds{30}, 2000);
  EXPECT_EQ(history.peak(start + Seconds{40}, Seconds{40}), 5000);
  EXPECT_EQ(history.peak(start + Seconds{41}, Seconds{40}), 2000);
  history.clear();
  EXPECT_EQ(history.peak(start + Seconds{41}, Seconds{40}), 0);
}

class MachineReleaserTest : public FleetFixture {
 protected:
  MachineReleaser releaser{caller, cloud, registry, [this](const cluster::Machine& machine, auto&) {
                             removed.push_back(machine.id);
                             cluster_state.machines.erase(std::string(machine.id));
                           }};
  std::vector<std::string> removed;
};

TEST_F(MachineReleaserTest, RemovesMachinesOnceTheCloudConfirms) {
  releaser.schedule(add_machine("n-1"));
  EXPECT_TRUE(registry.find("n-1")->releasing);
  releaser.send_batch_if_due();
  EXPECT_FALSE(registry.is_released("n-1"));
  cloud_http.respond(200, "{}");
  EXPECT_TRUE(registry.is_released("n-1"));
  EXPECT_EQ(removed, std::vector<std::string>{"n-1"});
  releaser.send_batch_if_due();
  EXPECT_TRUE(cloud_http.calls.empty());
}

TEST_F(MachineReleaserTest, RepeatsAnUnconfirmedBatchAfterAPause) {
  releaser.schedule(add_machine("n-1"));
  releaser.send_batch_if_due();
  cloud_http.respond(0, "");
  releaser.send_batch_if_due();
  EXPECT_TRUE(cloud_http.calls.empty());
  queue.run_until(queue.now() + constants::release_retry_pause.count() + 0.1);
  releaser.send_batch_if_due();
  EXPECT_EQ(cloud_http.calls.size(), 1u);
  EXPECT_TRUE(removed.empty());
}

TEST_F(MachineReleaserTest, SendsBoundedBatchesOneAtATime) {
  for (std::size_t i = 0; i <= constants::max_machines_per_release; ++i)
    releaser.schedule(add_machine("n-" + std::to_string(i)));
  releaser.send_batch_if_due();
  releaser.send_batch_if_due();
  ASSERT_EQ(cloud_http.calls.size(), 1u);
  cloud_http.respond(200, "{}");
  EXPECT_EQ(removed.size(), constants::max_machines_per_release);
  releaser.send_batch_if_due();
  cloud_http.respond(200, "{}");
  EXPECT_EQ(removed.size(), constants::max_machines_per_release + 1);
}

class ScaleInTest : public FleetFixture {
 protected:
  ScaleInTest() { scale_in.begin_term(caller.now()); }
  // Whether a pass schedules the machine's release.
  bool is_released_by_pass(const cluster::Machine& machine) {
    scale_in.release_unusable();
    return machine.releasing;
  }
  MachineReleaser releaser{caller, cloud, registry, [](auto&, auto&) {}};
  ScaleIn scale_in{caller, registry, catalog, releaser, settings};
};

TEST_F(ScaleInTest, ReleasesAMachineWhoseBootTimedOut) {
  cluster::Machine& machine = add_machine("n-1");
  machine.incarnation = 0;
  machine.rented_at = caller.wall_now() - Seconds{109};  // Timeout: 4 * 20 s boot time + 30 s.
  EXPECT_FALSE(is_released_by_pass(machine));
  queue.run_until(queue.now() + 2);
  EXPECT_TRUE(is_released_by_pass(machine));
}

TEST_F(ScaleInTest, ReleasesAMachineWithoutHeartbeatsBeyondItsLease) {
  cluster::Machine& machine = add_machine("n-1");
  queue.run_until(99);
  EXPECT_FALSE(is_released_by_pass(machine));
  queue.run_until(101);  // Timeout: 10 s lease + 90 s grace.
  EXPECT_TRUE(is_released_by_pass(machine));
}

TEST_F(ScaleInTest, ReleasesAMachineThatDoesNotReceiveResponses) {
  cluster::Machine& machine = add_machine("n-1");
  machine.unresponsive_since = caller.now();
  machine.is_unresponsive = true;
  queue.run_until(29);
  EXPECT_FALSE(is_released_by_pass(machine));
  queue.run_until(31);  // Timeout: three leases of 10 s.
  EXPECT_TRUE(is_released_by_pass(machine));
}

TEST_F(ScaleInTest, ReleasesAQuarantinedMachineOnceItIsEmpty) {
  cluster::Machine& machine = add_machine("n-1");
  machine.quarantined = true;
  machine.placements.emplace_back();
  EXPECT_FALSE(is_released_by_pass(machine));
  machine.placements.clear();
  EXPECT_TRUE(is_released_by_pass(machine));
}

TEST_F(ScaleInTest, AppliesReleasesUncordonsAndDrainsOfAPlan) {
  add_machine("n-1").draining = true;
  add_machine("n-2").draining = true;
  add_machine("n-3");
  planning::ScalingPlan plan;
  plan.release = {"n-1"};
  plan.uncordon = {"n-2"};
  plan.drain = {"n-3"};
  scale_in.apply_releases(plan);
  EXPECT_TRUE(registry.find("n-1")->releasing);
  EXPECT_FALSE(registry.find("n-2")->draining);
  EXPECT_FALSE(registry.find("n-3")->draining);
  scale_in.apply_drains(plan);
  EXPECT_TRUE(registry.find("n-3")->draining);
}

}  // namespace
}  // namespace poppystile::coordination
