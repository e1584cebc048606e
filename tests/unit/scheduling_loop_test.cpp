#include "coordination/leader/scheduling_loop.hpp"

#include "constants.hpp"
#include "unit/leader_parts_fixture.hpp"

namespace poppystile::coordination {
namespace {

class SchedulingLoopTest : public LeaderPartsFixture {
 protected:
  SchedulingLoopTest() {
    settings.teams = {{"ops", 0, 0, 0, 0}};
    scheduling.begin_term(7);
  }

  protocol::Properties properties;
  SchedulingLoop scheduling{caller, cluster_state, election, journal,
                            gangs,  stopper,       settings, properties};
};

TEST_F(SchedulingLoopTest, PlansOnlyOnRequestAndAfterTheMinimumInterval) {
  EXPECT_FALSE(scheduling.run_if_due());
  scheduling.request_plan();
  EXPECT_TRUE(scheduling.run_if_due());
  scheduling.request_plan();
  EXPECT_FALSE(scheduling.run_if_due());
  advance(constants::min_plan_interval);
  EXPECT_TRUE(scheduling.run_if_due());
  EXPECT_FALSE(scheduling.run_if_due());
}

TEST_F(SchedulingLoopTest, PlacementsAreRecordedInTheJournal) {
  Machine& machine = add_machine("a1");
  Job& job = add_job("req-1", JobKind::array, 1);
  scheduling.request_plan();
  ASSERT_TRUE(scheduling.run_if_due());
  ASSERT_EQ(machine.placements.size(), 1u);
  EXPECT_EQ(job.waiting(), 0u);
  for (const auto& placement : machine.placements) {
    EXPECT_EQ(placement.attempt, (std::uint64_t{7} << constants::attempt_counter_bits) + 1);
    EXPECT_FALSE(journal.is_durable(placement.log_position));
  }
}

TEST_F(SchedulingLoopTest, TasksOfAGangStartOnlyWhenTheJournalRecordsAll) {
  add_machine("a1");
  Job& gang = add_job("req-1", JobKind::gang, 3);
  scheduling.request_plan();
  ASSERT_TRUE(scheduling.run_if_due());
  ASSERT_EQ(gang.placements.size(), 3u);
  std::set<std::uint64_t> positions;
  gang.for_each_placement(
      [&](const Placement& placement) { positions.insert(placement.log_position); });
  EXPECT_EQ(positions.size(), 1u);
}

TEST_F(SchedulingLoopTest, MachineIsExpectedToGetTasksOnlyWhileAPlanIsRequested) {
  const Machine& machine = add_machine("a1", 2);
  const Machine& small_machine = add_machine("a2", 1);
  add_job("req-1", JobKind::array, 20);  // Each task needs 2 CPUs.
  scheduling.request_plan();
  ASSERT_TRUE(scheduling.run_if_due());
  ASSERT_EQ(machine.placements.size(), 1u);
  EXPECT_FALSE(scheduling.may_place_on(add_machine("a4", 2)));
  scheduling.request_plan();
  EXPECT_FALSE(scheduling.may_place_on(machine));  // It has no free CPU.
  EXPECT_FALSE(scheduling.may_place_on(small_machine));
  EXPECT_TRUE(scheduling.may_place_on(add_machine("a3", 2)));
}

TEST_F(SchedulingLoopTest, WaitingTasksRequestAPlan) {
  Job& job = add_job("req-1", JobKind::array, 1);
  job.record.cancelled = true;
  scheduling.check_jobs();
  EXPECT_FALSE(scheduling.run_if_due());
  job.record.cancelled = false;
  scheduling.check_jobs();
  EXPECT_TRUE(scheduling.run_if_due());
}

}  // namespace
}  // namespace poppystile::coordination
