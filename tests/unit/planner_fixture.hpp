/// \file
/// Test fixture with a cluster state and the means to make plans for it and to apply them.
#pragma once

#include <gtest/gtest.h>

#include <cstdint>
#include <vector>

#include "planning/planner.hpp"
#include "unit/planning_samples.hpp"

namespace poppystile::planning {

class PlannerTest : public testing::Test {
 protected:
  PlannerTest() {
    context.teams = &teams;
    context.finish_objectives = &aims;
  }
  Plan plan() { return make_plan(cluster_state, context); }
  /// Applies the plan's placements to the cluster state, each with an attempt number of its own.
  void apply(const Plan& new_plan) {
    for (const auto& planned : new_plan.placements)
      cluster_state.place(cluster_state.machines.at(planned.machine),
                          cluster_state.jobs.at(planned.job), ++attempts, steady_at(0));
  }

  ClusterState cluster_state;
  std::vector<protocol::TeamSettings> teams = {{"ops", 0, 0, 0, 0}};
  std::vector<protocol::FinishObjective> aims;
  PlanningContext context;
  std::uint64_t attempts = 0;
};

}  // namespace poppystile::planning
