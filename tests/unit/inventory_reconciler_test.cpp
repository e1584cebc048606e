// Adoption and release of machines according to the cloud's machine list, and its paging.
#include "coordination/fleet/inventory_reconciler.hpp"

#include <gtest/gtest.h>

#include "constants.hpp"
#include "unit/fleet_fixture.hpp"

namespace poppystile::coordination {
namespace {

class InventoryReconcilerTest : public FleetFixture {
 protected:
  InventoryReconcilerTest() {
    inventory.begin_term(caller.now());
    // After this time, no machine list can be older than the term.
    queue.run_until(2 * settings.list_lag.count() + 2);
  }
  static std::string listed(const std::string& id, const std::string& state,
                            const std::string& type = "t") {
    return R"({"id":")" + id + R"(","build":")" + type +
           R"(","yard":"a","loaners":true,"stage":")" + state + R"(","held_s":7})";
  }
  static std::string page(const std::string& machines, bool more = false) {
    return R"({"stiles":[)" + machines + R"(],"more":)" + (more ? "true}" : "false}");
  }
  void fetch_page_with_response(const std::string& body) {
    inventory.fetch_page_if_due();
    cloud_http.respond(200, body);
  }

  MachineReleaser releaser{caller, cloud, registry, [](auto&, auto&) {}};
  InventoryReconciler inventory{caller, cloud, registry, releaser, settings};
};

TEST_F(InventoryReconcilerTest, AdoptsAnUnknownMachine) {
  fetch_page_with_response(page(listed("n-1", "running")));
  const cluster::Machine* machine = registry.find("n-1");
  ASSERT_NE(machine, nullptr);
  EXPECT_TRUE(machine->spot);
  EXPECT_EQ(machine->rented_at, caller.wall_now() - Seconds{7});
  EXPECT_FALSE(machine->releasing);
}

TEST_F(InventoryReconcilerTest, AdoptsNothingFromAListThatMayBeOlderThanTheTerm) {
  inventory.begin_term(caller.now());
  fetch_page_with_response(page(listed("n-1", "running")));
  EXPECT_EQ(registry.find("n-1"), nullptr);
}

TEST_F(InventoryReconcilerTest, IgnoresReleasedMachinesAndUnknownTypes) {
  registry.mark_released("n-1");
  fetch_page_with_response(
      page(listed("n-1", "running") + "," + listed("n-2", "running", "other")));
  EXPECT_TRUE(cluster_state.machines.empty());
}

TEST_F(InventoryReconcilerTest, ReleasesFailedMachinesAndKeepsUnlistedOnes) {
  add_machine("n-1");
  add_machine("n-2");
  fetch_page_with_response(page(listed("n-1", "failed")));
  EXPECT_TRUE(registry.find("n-1")->releasing);
  ASSERT_NE(registry.find("n-2"), nullptr);
  EXPECT_FALSE(registry.find("n-2")->releasing);
}

TEST_F(InventoryReconcilerTest, ReadsPagesInOrderAndThenStartsAgain) {
  fetch_page_with_response(page(listed("n-1", "running"), true));
  inventory.fetch_page_if_due();
  EXPECT_TRUE(cloud_http.calls.empty());
  queue.run_until(queue.now() + 1);  // Pages may use a quarter of five calls per second.
  inventory.fetch_page_if_due();
  ASSERT_EQ(cloud_http.calls.size(), 1u);
  EXPECT_EQ(cloud_http.calls.front().request.target, protocol::list_path("n-1"));
  cloud_http.respond(200, page(listed("n-2", "running")));
  queue.run_until(queue.now() + 4.9);
  inventory.fetch_page_if_due();
  EXPECT_TRUE(cloud_http.calls.empty());
  queue.run_until(queue.now() + 0.2);
  inventory.fetch_page_if_due();
  ASSERT_EQ(cloud_http.calls.size(), 1u);
  EXPECT_EQ(cloud_http.calls.front().request.target, protocol::list_path(""));
}

TEST_F(InventoryReconcilerTest, RepeatsThePageAfterAMalformedResponse) {
  inventory.fetch_page_if_due();
  cloud_http.respond(200, "{}");
  queue.run_until(queue.now() + constants::list_interval.count() + 0.1);
  inventory.fetch_page_if_due();
  EXPECT_EQ(cloud_http.calls.size(), 1u);
}

}  // namespace
}  // namespace poppystile::coordination
