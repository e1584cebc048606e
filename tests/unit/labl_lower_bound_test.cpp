/// \file
/// Tests of LABL's lower bound of the latency against values computed by hand.
#include "planning/labl_lower_bound.hpp"

#include <gtest/gtest.h>

namespace poppystile::planning {
namespace {

const LablWeights paper_weights{1, 3, 1, false};

TEST(LablLowerBound, IsTheTrivialBoundForAnEvenPlacement) {
  // Every task is local on every server, all servers are idle: ceil(|T| / |S|) (section 3.3).
  const std::vector<LablJob> jobs(10, LablJob{1, {1, 1, 1, 1}, {1, 1, 1, 1}});
  EXPECT_DOUBLE_EQ(labl_lower_bound(jobs, {0, 0, 0, 0}, paper_weights, 1), 3);
}

TEST(LablLowerBound, AllowsForTasksThatMustRunRemotely) {
  // The only server with the image has a load of 9; the idle one takes two remote tasks, of 3 each.
  const std::vector<LablJob> jobs(2, LablJob{1, {1, 1}, {1, 0}});
  EXPECT_DOUBLE_EQ(labl_lower_bound(jobs, {9, 0}, paper_weights, 1), 6);
}

TEST(LablLowerBound, IsAWholeMultipleOfTheUnitCost) {
  const std::vector<LablJob> jobs = {LablJob{3, {2.5, 2.5}, {1, 1}}};
  EXPECT_DOUBLE_EQ(labl_lower_bound(jobs, {0, 0}, paper_weights, 2.5), 5);
}

TEST(LablLowerBound, IsZeroWithoutAUnitCost) {
  EXPECT_DOUBLE_EQ(labl_lower_bound({}, {0}, paper_weights, 0), 0);
}

TEST(MeanLocalCost, LeavesOutServersThatMayNotRunTheJob) {
  EXPECT_DOUBLE_EQ(mean_local_cost(LablJob{1, {0, 2, 4}, {0, 0, 0}}), 3);
  EXPECT_DOUBLE_EQ(mean_local_cost(LablJob{1, {0, 0}, {0, 0}}), 0);
}

}  // namespace
}  // namespace poppystile::planning
