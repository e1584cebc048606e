// The planner over the leader's model, and the model's own counts.
#include "planning/planner.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>

#include "constants.hpp"
#include "planning/array_batches.hpp"
#include "unit/planning_samples.hpp"

namespace poppystile::planning {
namespace {

class PlannerTest : public testing::Test {
 protected:
  Plan plan() {
    return make_plan(cluster_state, {{}, &teams, {1, 3, 1, true}, Seconds{1}, now_wall, &aims});
  }
  void apply(const Plan& made) {
    for (const auto& each : made.placements)
      cluster_state.place(cluster_state.machines.at(each.machine), cluster_state.jobs.at(each.job),
                          ++attempts, steady_at(0));
  }
  ClusterState cluster_state;
  std::vector<protocol::TeamSettings> teams = {{"ops", 0, 0, 0, 0}};
  std::uint64_t attempts = 0;
  WallTime now_wall;
  std::vector<protocol::FinishAim> aims;
};

// A restored job's cursor once ran past its end and corrupted the heap.
TEST_F(PlannerTest, RestoredJobHandsOutOnlyWhatWaits) {
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

TEST_F(PlannerTest, NeverMoreThanFits) {
  add(cluster_state, spec("req-1", JobKind::array, 100, Priority::normal));
  add(cluster_state, "a1", 8);
  add(cluster_state, "b1", 4);
  // What a plan leaves to wait for a place goes to another one soon after.
  for (int round = 0; round < 5; ++round) apply(plan());
  EXPECT_EQ(cluster_state.machines.at("a1").placements.size(), 4u);
  EXPECT_EQ(cluster_state.machines.at("b1").placements.size(), 2u);
}

TEST_F(PlannerTest, TeamLimitHolds) {
  teams[0].cpus_max = 7;
  add(cluster_state, spec("req-1", JobKind::array, 100, Priority::normal));
  add(cluster_state, spec("req-2", JobKind::service, 2, Priority::high));
  add(cluster_state, "a1", 32);
  apply(plan());
  EXPECT_EQ(cluster_state.teams.at("ops").used.cpus, 6000);
}

TEST_F(PlannerTest, ServiceGoesToTheHolder) {
  add(cluster_state, spec("req-1", JobKind::service, 1, Priority::high));
  add(cluster_state, "a1", 32);
  add(cluster_state, "b1", 8).mark_image_used("img", 1);
  const Plan made = plan();
  ASSERT_EQ(made.placements.size(), 1u);
  EXPECT_EQ(made.placements[0].machine, "b1");
}

TEST_F(PlannerTest, HigherPriorityMakesRoomOnceOnly) {
  add(cluster_state, spec("req-1", JobKind::array, 4, Priority::normal));
  add(cluster_state, "a1", 8);
  apply(plan());
  add(cluster_state, spec("req-2", JobKind::service, 1, Priority::production));
  const Plan made = plan();
  ASSERT_EQ(made.preemptions.size(), 1u);
  cluster_state.machines.at("a1")
      .find(made.preemptions[0].job, made.preemptions[0].index, made.preemptions[0].attempt)
      ->stopping = true;
  EXPECT_TRUE(plan().preemptions.empty());  // the room is on its way
}

// A task given back before the cursor has reached it must not be handed out twice.
TEST_F(PlannerTest, ATaskGivenBackIsHandedOutOnce) {
  add(cluster_state, spec("req-1", JobKind::array, 4, Priority::normal));
  Job& job = cluster_state.jobs.at("req-1");
  Machine& a1 = add(cluster_state, "a1", 32);
  cluster_state.restore(a1, job, 2, 1, steady_at(0));  // as after a takeover
  cluster_state.release_resources(a1, a1.placements[0]);
  job.requeue(2);
  a1.placements.clear();
  std::set<std::uint32_t> seen;
  while (job.waiting() > 0) EXPECT_TRUE(seen.insert(job.take_waiting(a1)).second);
  EXPECT_EQ(seen.size(), 4u);
}

// What can still be in time goes before what is late already, whichever came first.
TEST_F(PlannerTest, ArraysThatCanBeInTimeGoFirst) {
  now_wall = wall_at(100);
  JobSpec late = spec("req-1", JobKind::array, 4, Priority::normal);
  late.deadline = Seconds{40};
  JobSpec in_time = spec("req-2", JobKind::array, 4, Priority::normal);
  aims = {{"d", Seconds{60}}};
  in_time.job_class = "d";
  add(cluster_state, late);
  add(cluster_state, in_time);
  cluster_state.jobs.at("req-1").record.accepted_at = wall_at(10);
  cluster_state.jobs.at("req-2").record.accepted_at = wall_at(95);
  add(cluster_state, "a1", 8);
  for (const auto& each : plan().placements) EXPECT_EQ(each.job, "req-2");
}

// But an array that has waited long begins, with a part of it.
TEST_F(PlannerTest, NoArrayStarves) {
  now_wall = wall_at(400);
  JobSpec old = spec("req-1", JobKind::array, 60, Priority::normal);
  old.deadline = Seconds{40};
  add(cluster_state, old);
  JobSpec fresh = spec("req-2", JobKind::array, 100, Priority::normal);
  fresh.deadline = Seconds{500};
  add(cluster_state, fresh);
  cluster_state.jobs.at("req-2").record.accepted_at = wall_at(399);
  add(cluster_state, "a1", 16);
  std::map<std::string, int> placed;
  for (const auto& each : plan().placements) ++placed[each.job];
  EXPECT_EQ(placed["req-1"], 4);
  EXPECT_EQ(placed["req-2"], 4);
}

// Arrays whose tasks are better off waiting for a holder once waited for 90 s beside free room.
TEST_F(PlannerTest, AnArrayThatHasWaitedLongBeginsInAnyRoom) {
  add(cluster_state, spec("req-1", JobKind::array, 3, Priority::normal));
  add(cluster_state, "a1", 32).fetch_gb_per_s = 0.01;
  const auto begun = [this](Seconds waited) {
    cluster_state.jobs.at("req-1").record.accepted_at = now_wall - waited;
    const PlanningContext context{{}, &teams, {1, 3, 1, true}, Seconds{1}, now_wall, &aims};
    PlanDraft draft(cluster_state, context);
    draft.add_slots();
    const JobOrder order(cluster_state, context);
    Preemption preemption(draft, order);
    ArrayBatches(draft, order, preemption).begin_overdue({&cluster_state.jobs.at("req-1")});
    return draft.take().placements.size();
  };
  EXPECT_EQ(begun(constants::first_task_wait - Seconds{1}), 0u);
  EXPECT_EQ(begun(constants::first_task_wait + Seconds{1}), 1u);
  Machine& elsewhere = add(cluster_state, "b1", 2);
  cluster_state.place(elsewhere, cluster_state.jobs.at("req-1"), 1, steady_at(0));
  EXPECT_EQ(begun(constants::first_task_wait + Seconds{1}), 0u);  // it has begun
}

// A machine that may not hear us gets nothing, however empty it looks.
TEST_F(PlannerTest, SuspectMachinesGetNothing) {
  add(cluster_state, spec("req-1", JobKind::array, 4, Priority::normal));
  add(cluster_state, "a1", 32).is_unresponsive = true;
  EXPECT_TRUE(plan().placements.empty());
}

TEST_F(PlannerTest, EqualPriorityIsNotPreempted) {
  add(cluster_state, spec("req-1", JobKind::array, 4, Priority::high));
  add(cluster_state, "a1", 8);
  apply(plan());
  add(cluster_state, spec("req-2", JobKind::service, 1, Priority::high));
  EXPECT_TRUE(plan().preemptions.empty());
}

// Work that another team runs beyond its guarantee gives way, whatever its priority.
TEST_F(PlannerTest, GuaranteeTakesBackWhatIsBorrowed) {
  teams = {{"ops", 2, 0, 0, 0}, {"lab", 4, 0, 0, 0}};
  add(cluster_state, spec("req-1", JobKind::array, 4, Priority::high));
  add(cluster_state, "a1", 8);
  apply(plan());
  JobSpec promised = spec("req-2", JobKind::array, 2, Priority::normal);
  promised.team = "lab";
  add(cluster_state, promised);
  EXPECT_EQ(plan().preemptions.size(), 2u);
  cluster_state.jobs.at("req-2").record.spec.tasks = 3;  // beyond the guarantee: no claim
  cluster_state.jobs.at("req-2").phases.assign(3, TaskPhase::waiting);
  EXPECT_TRUE(plan().preemptions.empty());
}

TEST_F(PlannerTest, SpreadAndOneZoneAreKept) {
  JobSpec apart = spec("req-1", JobKind::array, 5, Priority::normal);
  apart.spread = true;
  JobSpec together = spec("req-2", JobKind::array, 3, Priority::normal);
  together.one_zone = true;
  add(cluster_state, apart);
  add(cluster_state, together);
  add(cluster_state, "a1", 32);
  add(cluster_state, "b1", 32);
  std::map<std::string, std::map<std::string, int>> zones;
  // A plan leaves out what would crowd a zone; the next one puts it elsewhere.
  for (int round = 0; round < 2; ++round) {
    const Plan made = plan();
    for (const auto& each : made.placements) ++zones[each.job][each.machine.substr(0, 1)];
    apply(made);
  }
  EXPECT_LE(zones["req-1"]["a"], 3);
  EXPECT_LE(zones["req-1"]["b"], 3);
  EXPECT_EQ(zones["req-1"]["a"] + zones["req-1"]["b"], 5);
  EXPECT_EQ(std::max(zones["req-2"]["a"], zones["req-2"]["b"]), 3);
}

TEST_F(PlannerTest, SpotOnlyWhereAllowed) {
  JobSpec ordinary = spec("req-1", JobKind::service, 1, Priority::high);
  ordinary.spot = false;
  add(cluster_state, ordinary);
  add(cluster_state, "a1", 32).spot = true;
  EXPECT_TRUE(plan().placements.empty());
}

// What may be on a machine counts until it is proven off, and no longer, whatever became of its
// job.
TEST_F(PlannerTest, ATeamsUseOutlivesTheJobAndNotThePlacement) {
  add(cluster_state, spec("req-1", JobKind::array, 3, Priority::normal));
  Machine& machine = add(cluster_state, "a1", 16);
  apply(plan());
  cluster_state.jobs.erase("req-1");
  EXPECT_EQ(cluster_state.teams.at("ops").used.cpus, 6000);
  for (auto& each : machine.placements) cluster_state.release_resources(machine, each);
  EXPECT_EQ(cluster_state.teams.at("ops").used.cpus, 0);
  EXPECT_EQ(machine.used.cpus, 0);
}

// Lower work once waited for ever beside a stream of higher work.
TEST_F(PlannerTest, AStarvedJobOfLowerPriorityBeginsFirst) {
  add(cluster_state, spec("req-1", JobKind::array, 50, Priority::normal));
  JobSpec spare = spec("req-2", JobKind::array, 40, Priority::low);
  spare.image = "other";
  add(cluster_state, spare);
  add(cluster_state, "a1", 16);
  const auto of_spare = [&] {
    const Plan made = plan();
    return std::count_if(made.placements.begin(), made.placements.end(),
                         [](const auto& each) { return each.job == "req-2"; });
  };
  cluster_state.jobs.at("req-1").record.accepted_at = now_wall - Seconds{10};
  cluster_state.jobs.at("req-2").record.accepted_at =
      now_wall - constants::starvation_wait + Seconds{1};
  EXPECT_EQ(of_spare(), 0);
  cluster_state.jobs.at("req-2").record.accepted_at =
      now_wall - constants::starvation_wait - Seconds{1};
  EXPECT_EQ(of_spare(), 3);  // a twentieth of it, and one
}

// A machine with a slow link that is up first once took every waiting replica, each with an image
// of its own, and was still fetching when those that booted a little later had been up for long.
TEST_F(PlannerTest, AReplicaWaitsForABootingMachineRatherThanForSlowFetches) {
  for (int i = 0; i < 4; ++i) {
    JobSpec replica = spec("req-" + std::to_string(i), JobKind::service, 1, Priority::high);
    replica.image = "img-" + std::to_string(i);
    add(cluster_state, replica);
  }
  add(cluster_state, "a1", 32).fetch_gb_per_s = 0.05;  // 20 s an image
  Machine& booting = add(cluster_state, "b1", 32);
  booting.incarnation = 0;
  booting.has_reported = booting.has_acknowledged_token = false;
  booting.boot_time = Seconds{30};  // and so up after 31 s or so
  const auto placed = [&] { return plan().placements.size(); };
  EXPECT_EQ(placed(), 1u);  // the first fetches; for the others that machine would be too slow
  now_wall = wall_at(44);   // any moment now
  EXPECT_EQ(placed(), 0u);
  now_wall = wall_at(46);  // overdue: nobody knows when it will be up
  EXPECT_EQ(placed(), 4u);
  booting.rented_at = now_wall = WallTime{constants::max_boot_wait + Seconds{1}};
  EXPECT_EQ(placed(), 4u);  // they have waited long enough
}

// Replicas that share an image share its fetch.
TEST_F(PlannerTest, ReplicasOfOneImageGatherWhereItIsFetched) {
  for (int i = 0; i < 4; ++i) {
    JobSpec replica = spec("req-" + std::to_string(i), JobKind::service, 1, Priority::high);
    replica.image = "img-" + std::to_string(i % 2);
    add(cluster_state, replica);
  }
  add(cluster_state, "a1", 32).fetch_gb_per_s = 0.05;
  add(cluster_state, "b1", 32).fetch_gb_per_s = 0.05;
  std::map<std::string, std::set<std::string>> images;
  for (const auto& each : plan().placements)
    images[each.machine].insert(cluster_state.jobs.at(each.job).spec().image);
  EXPECT_EQ(images["a1"].size(), 1u);
  EXPECT_EQ(images["b1"].size(), 1u);
}

}  // namespace
}  // namespace poppystile::planning
