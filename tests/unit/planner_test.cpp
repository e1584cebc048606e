/// \file
/// Tests of whole plans: the order of jobs, limits, guarantees and preemption; and the counts in
/// the cluster state after plans are applied.
#include "planning/planner.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>

#include "constants.hpp"
#include "planning/array_placement.hpp"
#include "unit/planner_fixture.hpp"

namespace poppystile::planning {
namespace {

// Guards against the search for a restored job's next waiting task running past the last task and
// corrupting the heap.
TEST_F(PlannerTest, OnlyWaitingTasksOfARestoredJobArePlaced) {
  add(cluster_state, spec("req-1", JobKind::array, 5, Priority::normal));
  Job& job = cluster_state.jobs.at("req-1");
  for (std::uint32_t i : {0u, 2u, 4u}) job.finish(i);
  EXPECT_EQ(job.waiting(), 2u);
  add(cluster_state, "a1", 32);
  apply(plan());
  EXPECT_EQ(job.waiting(), 0u);
  EXPECT_EQ(job.phases[1], TaskPhase::placed);
  EXPECT_EQ(job.phases[3], TaskPhase::placed);
}

TEST_F(PlannerTest, MachinesGetNoMoreTasksThanFit) {
  add(cluster_state, spec("req-1", JobKind::array, 100, Priority::normal));
  add(cluster_state, "a1", 8);
  add(cluster_state, "b1", 4);
  // LABL may assign a task to a machine that is full; a later plan places the task elsewhere.
  for (int round = 0; round < 5; ++round) apply(plan());
  EXPECT_EQ(cluster_state.machines.at("a1").placements.size(), 4u);
  EXPECT_EQ(cluster_state.machines.at("b1").placements.size(), 2u);
}

TEST_F(PlannerTest, TeamLimitHoldsForArraysAndServices) {
  teams[0].cpus_max = 7;
  add(cluster_state, spec("req-1", JobKind::array, 100, Priority::normal));
  add(cluster_state, spec("req-2", JobKind::service, 2, Priority::high));
  add(cluster_state, "a1", 32);
  apply(plan());
  EXPECT_EQ(cluster_state.teams.at("ops").used.cpus, 6000);
}

TEST_F(PlannerTest, NothingMoreIsPreemptedWhilePreemptedTasksStop) {
  add(cluster_state, spec("req-1", JobKind::array, 4, Priority::normal));
  add(cluster_state, "a1", 8);
  apply(plan());
  add(cluster_state, spec("req-2", JobKind::service, 1, Priority::production));
  const Plan result = plan();
  ASSERT_EQ(result.preemptions.size(), 1u);
  cluster_state.machines.at("a1")
      .find(result.preemptions[0].job, result.preemptions[0].index, result.preemptions[0].attempt)
      ->stopping = true;
  EXPECT_TRUE(plan().preemptions.empty());  // the preempted task is freeing resources
}

// Guards against a task being placed twice because it is in `requeued` and also lies beyond
// `next_unplaced`, where a restored job may have placed tasks.
TEST_F(PlannerTest, ARequeuedTaskIsPlacedOnce) {
  add(cluster_state, spec("req-1", JobKind::array, 4, Priority::normal));
  Job& job = cluster_state.jobs.at("req-1");
  Machine& a1 = add(cluster_state, "a1", 32);
  cluster_state.restore(a1, job, 2, 1, steady_at(0));  // the state after a failover
  cluster_state.release_resources(a1, a1.placements[0]);
  job.requeue(2);
  a1.placements.clear();
  std::set<std::uint32_t> taken_indices;
  while (job.waiting() > 0)
    EXPECT_TRUE(taken_indices.insert(job.place_next_waiting_task(a1)).second);
  EXPECT_EQ(taken_indices.size(), 4u);
}

// The order in which the arrays were accepted does not matter.
TEST_F(PlannerTest, ArraysThatCanMeetTheirTargetArePlacedBeforeOverdueOnes) {
  context.wall_now = wall_at(100);
  JobSpec overdue_job = spec("req-1", JobKind::array, 4, Priority::normal);
  overdue_job.deadline = Seconds{40};
  JobSpec attainable_job = spec("req-2", JobKind::array, 4, Priority::normal);
  aims = {{"d", Seconds{60}}};
  attainable_job.job_class = "d";
  add(cluster_state, overdue_job);
  add(cluster_state, attainable_job);
  cluster_state.jobs.at("req-1").record.accepted_at = wall_at(10);
  cluster_state.jobs.at("req-2").record.accepted_at = wall_at(95);
  add(cluster_state, "a1", 8);
  for (const auto& each : plan().placements) EXPECT_EQ(each.job, "req-2");
}

// A part of the starved array's tasks is placed first; the other array gets the remaining CPUs.
TEST_F(PlannerTest, FirstTasksOfAStarvedArrayArePlacedBesideAnArrayThatCanMeetItsTarget) {
  context.wall_now = wall_at(400);
  JobSpec starved_job = spec("req-1", JobKind::array, 60, Priority::normal);
  starved_job.deadline = Seconds{40};
  add(cluster_state, starved_job);
  JobSpec recent_job = spec("req-2", JobKind::array, 100, Priority::normal);
  recent_job.deadline = Seconds{500};
  add(cluster_state, recent_job);
  cluster_state.jobs.at("req-2").record.accepted_at = wall_at(399);
  add(cluster_state, "a1", 16);
  std::map<std::string, int> placed;
  for (const auto& each : plan().placements) ++placed[each.job];
  EXPECT_EQ(placed["req-1"], 4);
  EXPECT_EQ(placed["req-2"], 4);
}

// Guards against arrays waiting for 90 s although resources are free, because LABL assigns their
// tasks to busy machines that have the image.
TEST_F(PlannerTest, AnOverdueFirstTaskIsPlacedWhereverItFits) {
  add(cluster_state, spec("req-1", JobKind::array, 3, Priority::normal));
  add(cluster_state, "a1", 32).fetch_gb_per_s = 0.01;
  const auto placements_after = [this](Seconds waited) {
    cluster_state.jobs.at("req-1").record.accepted_at = context.wall_now - waited;
    PlanDraft draft(cluster_state, context);
    const JobOrder order(cluster_state, context);
    Preemption preemption(draft, order);
    ArrayPlacement(draft, order, preemption)
        .place_overdue_first_tasks({&cluster_state.jobs.at("req-1")});
    return draft.take_plan().placements.size();
  };
  EXPECT_EQ(placements_after(constants::max_first_task_wait - Seconds{1}), 0u);
  EXPECT_EQ(placements_after(constants::max_first_task_wait + Seconds{1}), 1u);
  Machine& other_machine = add(cluster_state, "b1", 2);
  cluster_state.place(other_machine, cluster_state.jobs.at("req-1"), 1, steady_at(0));
  // A task of the array is placed already.
  EXPECT_EQ(placements_after(constants::max_first_task_wait + Seconds{1}), 0u);
}

// Commands to an unresponsive machine may be lost, however many resources it has.
TEST_F(PlannerTest, UnresponsiveMachinesGetNoTasks) {
  add(cluster_state, spec("req-1", JobKind::array, 4, Priority::normal));
  add(cluster_state, "a1", 32).is_unresponsive = true;
  EXPECT_TRUE(plan().placements.empty());
}

TEST_F(PlannerTest, WorkOfEqualPriorityIsNotPreempted) {
  add(cluster_state, spec("req-1", JobKind::array, 4, Priority::high));
  add(cluster_state, "a1", 8);
  apply(plan());
  add(cluster_state, spec("req-2", JobKind::service, 1, Priority::high));
  EXPECT_TRUE(plan().preemptions.empty());
}

// Work above a team's guarantee may be preempted even if its priority is higher.
TEST_F(PlannerTest, GuaranteedWorkPreemptsTeamsAboveTheirGuarantee) {
  teams = {{"ops", 2, 0, 0, 0}, {"lab", 4, 0, 0, 0}};
  add(cluster_state, spec("req-1", JobKind::array, 4, Priority::high));
  add(cluster_state, "a1", 8);
  apply(plan());
  JobSpec guaranteed_job = spec("req-2", JobKind::array, 2, Priority::normal);
  guaranteed_job.team = "lab";
  add(cluster_state, guaranteed_job);
  EXPECT_EQ(plan().preemptions.size(), 2u);
  cluster_state.jobs.at("req-2").record.spec.tasks = 3;  // beyond the guarantee
  cluster_state.jobs.at("req-2").phases.assign(3, TaskPhase::waiting);
  EXPECT_TRUE(plan().preemptions.empty());
}

TEST_F(PlannerTest, SpreadAndOneZoneAreRespected) {
  JobSpec spread_job = spec("req-1", JobKind::array, 5, Priority::normal);
  spread_job.spread = true;
  JobSpec one_zone_job = spec("req-2", JobKind::array, 3, Priority::normal);
  one_zone_job.one_zone = true;
  add(cluster_state, spread_job);
  add(cluster_state, one_zone_job);
  add(cluster_state, "a1", 32);
  add(cluster_state, "b1", 32);
  std::map<std::string, std::map<std::string, int>> zones;
  // With `spread`, a zone has at most half of the job's tasks, rounded up. Tasks beyond that are
  // left out of the first plan and placed in the other zone by the second.
  for (int round = 0; round < 2; ++round) {
    const Plan result = plan();
    for (const auto& each : result.placements) ++zones[each.job][each.machine.substr(0, 1)];
    apply(result);
  }
  EXPECT_LE(zones["req-1"]["a"], 3);
  EXPECT_LE(zones["req-1"]["b"], 3);
  EXPECT_EQ(zones["req-1"]["a"] + zones["req-1"]["b"], 5);
  EXPECT_EQ(std::max(zones["req-2"]["a"], zones["req-2"]["b"]), 3);
}

// Guards against an array with `one_zone` waiting beside free machines, because the zone with the
// most capacity is occupied by other jobs.
TEST_F(PlannerTest, OneZoneArrayUsesTheZoneWithFreeResources) {
  add(cluster_state, spec("req-1", JobKind::array, 16, Priority::normal));
  add(cluster_state, "a1", 32);
  apply(plan());
  add(cluster_state, "b1", 16);
  JobSpec one_zone_job = spec("req-2", JobKind::array, 16, Priority::normal);
  one_zone_job.one_zone = true;
  one_zone_job.image = "other";
  add(cluster_state, one_zone_job);
  const Plan result = plan();
  EXPECT_EQ(result.zone_choices.at("req-2").zone, "b");
  EXPECT_EQ(result.placements.size(), 8u);
}

// A team is charged for a task until its placement is released, also after the job is erased.
TEST_F(PlannerTest, TeamUsageLastsAsLongAsThePlacementEvenIfTheJobIsErased) {
  add(cluster_state, spec("req-1", JobKind::array, 3, Priority::normal));
  Machine& machine = add(cluster_state, "a1", 16);
  apply(plan());
  cluster_state.jobs.erase("req-1");
  EXPECT_EQ(cluster_state.teams.at("ops").used.cpus, 6000);
  for (auto& each : machine.placements) cluster_state.release_resources(machine, each);
  EXPECT_EQ(cluster_state.teams.at("ops").used.cpus, 0);
  EXPECT_EQ(machine.used.cpus, 0);
}

// Guards against arrays waiting for ever while new work of higher priority keeps arriving.
TEST_F(PlannerTest, FirstTasksOfAStarvedArrayArePlacedBeforeHigherPriority) {
  add(cluster_state, spec("req-1", JobKind::array, 50, Priority::normal));
  JobSpec low_priority_job = spec("req-2", JobKind::array, 40, Priority::low);
  low_priority_job.image = "other";
  add(cluster_state, low_priority_job);
  add(cluster_state, "a1", 16);
  const auto count_low_priority_placements = [&] {
    const Plan result = plan();
    return std::count_if(result.placements.begin(), result.placements.end(),
                         [](const auto& each) { return each.job == "req-2"; });
  };
  cluster_state.jobs.at("req-1").record.accepted_at = context.wall_now - Seconds{10};
  cluster_state.jobs.at("req-2").record.accepted_at =
      context.wall_now - constants::starvation_wait + Seconds{1};
  EXPECT_EQ(count_low_priority_placements(), 0);
  cluster_state.jobs.at("req-2").record.accepted_at =
      context.wall_now - constants::starvation_wait - Seconds{1};
  EXPECT_EQ(count_low_priority_placements(), 3);  // a twentieth of its 40 tasks, plus one
}

}  // namespace
}  // namespace poppystile::planning
