/// \file
/// Gangs: how a change of one task affects the other tasks.
#include <gtest/gtest.h>

#include <algorithm>

#include "cluster/attempt_numbers.hpp"
#include "coordination/leader/gang_tracker.hpp"
#include "planning/planner.hpp"
#include "unit/planning_samples.hpp"

namespace poppystile {
namespace {

using cluster::ClusterState;
using cluster::GangAttempt;
using cluster::Job;
using cluster::Machine;
using coordination::GangTracker;
using planning::add;
using planning::spec;
using protocol::JobKind;
using protocol::Priority;

TEST(AttemptNumbers, AreExhaustedBeforeThoseOfTheNextTokenBegin) {
  cluster::AttemptNumbers numbers(41, (1 << 24) - 3);
  EXPECT_EQ(numbers.next(), (std::uint64_t{42} << 24) - 2);
  EXPECT_EQ(numbers.next(), (std::uint64_t{42} << 24) - 1);
  EXPECT_EQ(numbers.next(), std::nullopt);
  EXPECT_EQ(cluster::AttemptNumbers(42).next(), (std::uint64_t{42} << 24) + 1);
}

class GangTest : public testing::Test {
 protected:
  GangTest() {
    context.teams = &teams;
    context.finish_objectives = &aims;
    context.gang_task_replacement_window =
        protocol::GangTimes{Seconds{40}, Seconds{6}}.task_replacement_window();
  }
  Job& add_gang(const std::string& id, std::uint32_t tasks) {
    auto job = spec(id, JobKind::gang, tasks, Priority::normal);
    job.one_zone = true;
    job.checkpoint_interval = Seconds{10};
    job.checkpoint_save_time = Seconds{3};
    add(cluster_state, job);
    return cluster_state.jobs.at(id);
  }
  planning::Plan plan() { return planning::make_plan(cluster_state, context); }
  // Applies the placements of a plan to the cluster state.
  void apply(const planning::Plan& new_plan, std::uint64_t attempt) {
    for (const auto& placement : new_plan.placements) {
      Job& job = cluster_state.jobs.at(placement.job);
      if (job.is_gang()) GangTracker::on_placed(job, attempt, context.now);
      cluster_state.place(cluster_state.machines.at(placement.machine), job, attempt, context.now);
    }
  }
  std::size_t stopping() const {
    std::size_t count = 0;
    for (const auto& [id, machine] : cluster_state.machines)
      count += static_cast<std::size_t>(
          std::count_if(machine.placements.begin(), machine.placements.end(),
                        [](const auto& placement) { return placement.stopping; }));
    return count;
  }

  ClusterState cluster_state;
  std::vector<protocol::TeamSettings> teams = {{"ops", 0, 0, 0, 0}};
  std::vector<protocol::FinishObjective> aims;
  planning::PlanningContext context;
  protocol::Settings settings;
};

TEST_F(GangTest, LostTaskIsReplacedOnAnotherMachineInTheSameAttempt) {
  // The third machine has capacity for one task only. The machine that loses its task then has as
  // much free capacity, so the planner has no other reason to prefer the third one.
  add(cluster_state, "a1", 4).last_heartbeat_at = steady_at(5);
  add(cluster_state, "a2", 4).last_heartbeat_at = steady_at(5);
  add(cluster_state, "a3", 2).last_heartbeat_at = steady_at(5);
  Job& gang = add_gang("req-1", 4);
  apply(plan(), 77);
  ASSERT_EQ(gang.placements.size(), 4u);
  const std::uint32_t index = gang.placements.begin()->first;
  Machine& vacated_machine = *gang.placements.begin()->second;
  for (auto& placement : vacated_machine.placements)
    if (placement.index == index) cluster_state.release_resources(vacated_machine, placement);
  gang.requeue(index);
  context.now = steady_at(6);
  GangTracker::on_task_lost(gang, vacated_machine.id, steady_at(6));
  EXPECT_TRUE(plan().placements.empty());  // No machine has sent a heartbeat since the loss.
  for (auto& [id, machine] : cluster_state.machines) machine.last_heartbeat_at = steady_at(7);
  const auto new_plan = plan();
  ASSERT_EQ(new_plan.placements.size(), 1u);
  EXPECT_NE(new_plan.placements[0].machine, vacated_machine.id);
  apply(new_plan, 78);
  EXPECT_EQ(gang.gang.number, 77u);
  // A lost task of a running attempt is not replaced, and the other tasks are stopped.
  GangTracker::on_reported(gang, protocol::TaskState::running, steady_at(7));
  GangTracker::on_task_lost(gang, vacated_machine.id, steady_at(8));
  EXPECT_EQ(gang.gang.phase, GangAttempt::Phase::ending);
  EXPECT_EQ(stopping(), 4u);
  EXPECT_EQ(gang.schedulable_tasks(), 0u);
}

TEST_F(GangTest, AttemptThatIsNotCompletedInTimeIsAbandoned) {
  add(cluster_state, "a1", 8);
  Job& gang = add_gang("req-1", 4);
  apply(plan(), 77);
  settings.gang_times = protocol::GangTimes{Seconds{40}, Seconds{6}};
  const GangTracker tracker(settings);
  gang.requeue(0);
  tracker.check_assembly(gang, steady_at(10));
  EXPECT_EQ(gang.gang.phase, GangAttempt::Phase::assembling);
  tracker.check_assembly(gang, steady_at(17));
  EXPECT_EQ(gang.gang.phase, GangAttempt::Phase::ending);
}

TEST_F(GangTest, IncompleteAttemptOfAFormerLeaderIsAbandoned) {
  Machine& machine = add(cluster_state, "a1", 16);
  Job& complete_gang = add_gang("req-1", 2);
  Job& partial_gang = add_gang("req-2", 3);
  Job& mixed_attempts_gang = add_gang("req-3", 2);
  for (std::uint32_t i = 0; i < 2; ++i)
    cluster_state.restore(machine, complete_gang, i, 7, steady_at(0));
  for (std::uint32_t i = 0; i < 2; ++i)
    cluster_state.restore(machine, partial_gang, i, 8, steady_at(0));
  for (std::uint32_t i = 0; i < 2; ++i)
    cluster_state.restore(machine, mixed_attempts_gang, i, 9 + i, steady_at(0));
  for (Job* job : {&complete_gang, &partial_gang, &mixed_attempts_gang})
    GangTracker::on_restored(*job, steady_at(0));
  EXPECT_EQ(complete_gang.gang.phase, GangAttempt::Phase::assembling);
  EXPECT_EQ(complete_gang.gang.number, 7u);
  EXPECT_EQ(partial_gang.gang.phase, GangAttempt::Phase::ending);
  EXPECT_EQ(mixed_attempts_gang.gang.phase, GangAttempt::Phase::ending);
}

}  // namespace
}  // namespace poppystile
