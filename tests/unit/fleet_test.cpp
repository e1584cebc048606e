// Sizing of the fleet: what is rented, drained and released.
#include "planning/fleet.hpp"

#include <gtest/gtest.h>

#include "unit/planning_samples.hpp"

namespace poppystile::planning {
namespace {

// A machine whose replicas fit nowhere else never runs empty; what waited for its room, where
// nothing could be rented, waited for ever.
TEST(Fleet, ADrainingMachineTakesWhatCannotBeRented) {
  Model model;
  add(model, spec("req-1", JobKind::array, 4, Priority::normal));
  Machine& draining = add(model, "a1", 16);
  draining.draining = true;
  const std::vector<protocol::MachineType> types = {
      {"t", {16000, 0, 64000}, 50, 1, 1.0, 0.3, 20, {"a"}}};
  const std::vector<protocol::TeamSettings> teams = {{"ops", 0, 0, 0, 0}};
  FleetContext context;
  context.types = &types;
  context.teams = &teams;
  context.refused = {{"t", "a", true}, {"t", "a", false}};
  EXPECT_EQ(plan_fleet(model, context).undrain, std::vector<std::string>{"a1"});
  model.jobs.at("req-1").record.spec.zone = "b";
  EXPECT_TRUE(plan_fleet(model, context).undrain.empty());
}

TEST(Fleet, RentsTheCheapestAllowedAndSkipsWhatWasRefused) {
  Model model;
  JobSpec job = spec("req-1", JobKind::array, 8, Priority::normal);
  add(model, job);
  const std::vector<protocol::MachineType> types = {
      {"t", {16000, 0, 64000}, 50, 1, 1.0, 0.3, 20, {"a"}}};
  const std::vector<protocol::TeamSettings> teams = {{"ops", 0, 0, 0, 0}};
  FleetContext context;
  context.types = &types;
  context.teams = &teams;
  const FleetPlan first = plan_fleet(model, context);
  ASSERT_EQ(first.hire.size(), 1u);
  EXPECT_TRUE(first.hire[0].offer.spot);
  context.refused.insert(first.hire[0].offer);
  const FleetPlan second = plan_fleet(model, context);
  ASSERT_EQ(second.hire.size(), 1u);
  EXPECT_FALSE(second.hire[0].offer.spot);
}

}  // namespace
}  // namespace poppystile::planning
