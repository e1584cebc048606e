/// \file
/// Tests of which placements are preempted for a waiting job, and in which order.
#include "planning/victim_selector.hpp"

#include <gtest/gtest.h>

#include "unit/planning_samples.hpp"

namespace poppystile::planning {
namespace {

class VictimSelectorTest : public testing::Test {
 protected:
  VictimSelectorTest() : machine(add(cluster_state, "a1", 8)) {
    context.teams = &teams;
    context.finish_objectives = &aims;
    add(cluster_state, spec("waiting", JobKind::service, 1, Priority::high));
  }
  void place(const std::string& id, JobKind kind, Priority priority, SteadyTime started) {
    add(cluster_state, spec(id, kind, 1, priority));
    cluster_state.place(machine, cluster_state.jobs.at(id), 1, started);
  }
  /// Ids of the jobs whose tasks are the victims for one task of the waiting job, in order.
  std::vector<std::string> victims() {
    PlanDraft draft(cluster_state, context);
    const JobOrder order(cluster_state, context);
    const VictimSelector selector(draft, order);
    std::vector<std::string> jobs;
    for (const auto* victim :
         selector.victims_for_task(draft.slots()[0], cluster_state.jobs.at("waiting")))
      jobs.push_back(victim->job);
    return jobs;
  }

  ClusterState cluster_state;
  Machine& machine;
  std::vector<protocol::TeamSettings> teams = {{"ops", 0, 0, 0, 0}};
  std::vector<protocol::FinishObjective> aims;
  PlanningContext context;
};

TEST_F(VictimSelectorTest, TheYoungestTaskOfLowerPriorityIsPreempted) {
  machine.size.cpus = 6000;
  place("old", JobKind::array, Priority::low, steady_at(1));
  place("young", JobKind::array, Priority::low, steady_at(2));
  place("equal", JobKind::array, Priority::high, steady_at(3));
  EXPECT_EQ(victims(), std::vector<std::string>{"young"});
}

TEST_F(VictimSelectorTest, NothingIsPreemptedIfAllCandidatesFreeTooLittle) {
  machine.size.cpus = 2000;
  cluster_state.jobs.at("waiting").record.spec.task_resources.cpus = 4000;
  place("low", JobKind::array, Priority::low, steady_at(1));
  EXPECT_TRUE(victims().empty());
}

TEST_F(VictimSelectorTest, StoppingTasksAreNotCandidates) {
  machine.size.cpus = 2000;
  place("low", JobKind::array, Priority::low, steady_at(1));
  EXPECT_EQ(victims(), std::vector<std::string>{"low"});
  machine.placements[0].stopping = true;
  EXPECT_TRUE(victims().empty());
}

TEST_F(VictimSelectorTest, AGangWithAnUnresponsiveMachineIsNotPreempted) {
  machine.size.cpus = 2000;
  place("gang", JobKind::gang, Priority::low, steady_at(1));
  Machine& unresponsive = add(cluster_state, "b1", 8);
  EXPECT_EQ(victims(), std::vector<std::string>{"gang"});
  cluster_state.jobs.at("gang").placements[0] = &unresponsive;
  unresponsive.is_unresponsive = true;
  EXPECT_TRUE(victims().empty());
}

TEST_F(VictimSelectorTest, GuaranteedWorkPreemptsTeamsAboveTheirGuarantee) {
  machine.size.cpus = 2000;
  place("borrowed", JobKind::array, Priority::high, steady_at(1));
  cluster_state.jobs.at("waiting").record.spec.team = "lab";
  EXPECT_TRUE(victims().empty());
  teams.push_back({"lab", 2, 0, 0, 0});
  EXPECT_EQ(victims(), std::vector<std::string>{"borrowed"});
  teams[0].cpus = 2;
  EXPECT_TRUE(victims().empty());
}

}  // namespace
}  // namespace poppystile::planning
