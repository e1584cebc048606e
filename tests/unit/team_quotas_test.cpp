/// \file
/// Tests of how many more tasks the limits and the usage of a team allow.
#include "planning/team_quotas.hpp"

#include <gtest/gtest.h>

#include "constants.hpp"
#include "unit/planning_samples.hpp"

namespace poppystile::planning {
namespace {

class TeamQuotasTest : public testing::Test {
 protected:
  TeamQuotasTest() { job.task_resources = {2000, 1000, 0}; }

  JobSpec job = spec("req-1", JobKind::array, 100, Priority::normal);
  std::map<std::string, cluster::TeamUsage> usage;
};

TEST_F(TeamQuotasTest, TheScarcestResourceLimitsTheTasks) {
  usage["ops"].used = {1000, 1000, 0};
  EXPECT_EQ(TeamQuotas({{"ops", 0, 10, 0, 0}}, usage).remaining_tasks(job), 4u);
  EXPECT_EQ(TeamQuotas({{"ops", 0, 10, 0, 3}}, usage).remaining_tasks(job), 2u);
}

TEST_F(TeamQuotasTest, TasksThatThePlanAddsAreCounted) {
  TeamQuotas quotas({{"ops", 0, 10, 0, 0}}, usage);
  quotas.add(job, 3);
  EXPECT_EQ(quotas.remaining_tasks(job), 2u);
  quotas.add(job, 3);  // reservations may exceed the limit
  EXPECT_EQ(quotas.remaining_tasks(job), 0u);
}

TEST_F(TeamQuotasTest, ZeroMeansNoLimit) {
  EXPECT_EQ(TeamQuotas({{"ops", 0, 0, 0, 0}}, usage).remaining_tasks(job), constants::max_tasks);
}

TEST_F(TeamQuotasTest, AnUnknownTeamMayRunNoTasks) {
  EXPECT_EQ(TeamQuotas({{"lab", 0, 0, 0, 0}}, usage).remaining_tasks(job), 0u);
}

}  // namespace
}  // namespace poppystile::planning
