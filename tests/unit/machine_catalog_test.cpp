// Lookup of machine types, refreshes of the catalog, and its record in the state service.
#include "coordination/fleet/machine_catalog.hpp"

#include <gtest/gtest.h>

#include "constants.hpp"
#include "coordination/fleet/catalog_updater.hpp"
#include "unit/fleet_fixture.hpp"

namespace poppystile::coordination {
namespace {

using MachineCatalogTest = FleetFixture;

TEST_F(MachineCatalogTest, AppliesTheFieldsOfAKnownType) {
  cluster::Machine machine;
  machine.type = "t";
  EXPECT_TRUE(catalog.apply_machine_type(machine));
  EXPECT_EQ(machine.size.cpus, 16000);
  EXPECT_EQ(machine.cache_gb, 50);
  EXPECT_EQ(machine.fetch_gb_per_s, 2);
  EXPECT_EQ(machine.boot_time, Seconds{20});
}

TEST_F(MachineCatalogTest, DoesNotChangeAMachineOfAnUnknownType) {
  cluster::Machine machine;
  machine.type = "other";
  EXPECT_FALSE(catalog.apply_machine_type(machine));
  EXPECT_EQ(machine.size.cpus, 0);
  EXPECT_EQ(catalog.find("other"), nullptr);
}

class CatalogUpdaterTest : public FleetFixture {
 protected:
  static std::string catalog_body(double price) {
    return protocol::encode_catalog(
               {{"x", {8000, 0, 32000}, 50, 1, price, 0.3, Seconds{20}, {"a"}}})
        .dump();
  }
  CatalogUpdater updater{caller,       cloud,    catalog, key_value_client,
                         shared_state, election, settings};
};

TEST_F(CatalogUpdaterTest, FetchesOnceAndRefreshesAfterTheInterval) {
  become_leader();
  updater.refresh_if_due();
  updater.refresh_if_due();
  ASSERT_EQ(cloud_http.calls.size(), 1u);
  cloud_http.respond(200, catalog_body(1));
  EXPECT_NE(catalog.find("x"), nullptr);
  updater.refresh_if_due();
  EXPECT_TRUE(cloud_http.calls.empty());
  run_for(constants::catalog_refresh_interval.count() + 1);
  updater.refresh_if_due();
  EXPECT_EQ(cloud_http.calls.size(), 1u);
}

TEST_F(CatalogUpdaterTest, RecordsTheCatalogOnlyOnce) {
  become_leader();
  updater.refresh_if_due();
  cloud_http.respond(200, catalog_body(1));
  run_for(1);
  const std::uint64_t version = shared_state.catalog_version();
  EXPECT_NE(version, 0u);
  run_for(constants::catalog_refresh_interval.count() + 1);
  updater.refresh_if_due();
  cloud_http.respond(200, catalog_body(2));
  run_for(1);
  EXPECT_EQ(shared_state.catalog_version(), version);
  EXPECT_EQ(shared_state.types().at(0).price, 1);
  EXPECT_EQ(catalog.find("x")->price, 2);
}

TEST_F(CatalogUpdaterTest, KeepsThePreviousCatalogWhenAResponseIsMalformed) {
  updater.refresh_if_due();
  cloud_http.respond(200, "{}");
  EXPECT_NE(catalog.find("t"), nullptr);
  updater.refresh_if_due();
  EXPECT_EQ(cloud_http.calls.size(), 1u);
}

}  // namespace
}  // namespace poppystile::coordination
