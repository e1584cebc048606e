#include "simulation/simulation.hpp"

#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>
#include <stdexcept>
#include <string>
#include <vector>

#include "protocol/json.hpp"
#include "simulation/cloud.hpp"
#include "simulation/event_queue.hpp"
#include "simulation/invariant_checker.hpp"
#include "simulation/scenario_actions.hpp"
#include "simulation/scenario_expectations.hpp"
#include "simulation/scenario_file.hpp"
#include "simulation/worker_fleet.hpp"

namespace poppystile {
namespace {

using simulation::EventQueue;
using simulation::HostMachine;
using simulation::InvariantChecker;
using simulation::RequestKind;

TEST(EventQueue, RunsEventsOfTheSameTimeInTheOrderInWhichTheyWereQueued) {
  EventQueue queue(1);
  std::vector<int> order;
  queue.after(Seconds{2}, [&] { order.push_back(3); });
  queue.at(1, [&] { order.push_back(1); });
  queue.at(1, [&] { order.push_back(2); });
  queue.run_until(1.5);
  EXPECT_EQ(order, (std::vector<int>{1, 2}));
  EXPECT_EQ(queue.now(), 1.5);
  queue.run_until(2);
  EXPECT_EQ(order, (std::vector<int>{1, 2, 3}));
}

TEST(EventQueue, TemporaryValueIsRestoredAfterItsDuration) {
  EventQueue queue(1);
  double share = 0.1;
  simulation::set_temporarily(queue, share, 0.7, Seconds{3});
  queue.run_until(2.9);
  EXPECT_EQ(share, 0.7);
  queue.run_until(3);
  EXPECT_EQ(share, 0.1);
}

class InvariantCheckerTest : public testing::Test {
 protected:
  static constexpr double cancel_timeout_s = 35;

  InvariantCheckerTest() {
    job.id = "req-000001";
    job.job_class = "sweep";
    job.team = "ops";
    job.tasks = 2;
    job.task_resources = {2000, 0, 1000};
    checker.record_submission(job);
  }

  /// Returns the number of recorded violations of this invariant.
  std::size_t violations_of(simulation::Invariant invariant) const {
    std::size_t count = 0;
    for (const auto& violation : checker.violations())
      count += violation.find(name_of(invariant)) == std::string::npos ? 0U : 1U;
    return count;
  }

  EventQueue queue{1};
  InvariantChecker checker{queue, Seconds{cancel_timeout_s}};
  protocol::JobSpec job;
  HostMachine first{"n-000001", "big", "a", false};
  HostMachine second{"n-000002", "big", "b", false};
};

TEST_F(InvariantCheckerTest, TaskOnTwoMachinesIsAViolation) {
  checker.record_task_placed(job.id, 0, first);
  checker.record_task_placed(job.id, 1, second);
  EXPECT_TRUE(checker.violations().empty());
  checker.record_task_placed(job.id, 0, second);
  EXPECT_EQ(violations_of(simulation::Invariant::at_most_one_copy), 1U);
}

TEST_F(InvariantCheckerTest, TaskMayMoveAfterItWasRemoved) {
  checker.record_task_placed(job.id, 0, first);
  checker.record_task_removed(job.id, 0, first.machine);
  checker.record_task_placed(job.id, 0, second);
  EXPECT_TRUE(checker.violations().empty());
  EXPECT_EQ(checker.starts(), 2U);
}

TEST_F(InvariantCheckerTest, CancelledJobMustLeaveItsMachinesWithinTheTimeout) {
  checker.record_task_placed(job.id, 0, first);
  checker.record_cancellation_confirmed(job.id);
  queue.run_until(cancel_timeout_s);
  checker.check_cancelled_jobs();
  EXPECT_TRUE(checker.violations().empty());
  queue.run_until(cancel_timeout_s + 1);
  checker.check_cancelled_jobs();
  EXPECT_EQ(violations_of(simulation::Invariant::cancellation_deadline), 1U);
}

TEST_F(InvariantCheckerTest, TeamOverItsQuotaIsAViolation) {
  checker.set_team_quota("ops", 3000);
  checker.record_task_placed(job.id, 0, first);
  EXPECT_TRUE(checker.violations().empty());
  checker.record_task_placed(job.id, 1, second);
  EXPECT_EQ(violations_of(simulation::Invariant::team_quota), 1U);
}

TEST_F(InvariantCheckerTest, LostJobUncompletedDoneJobAndChangedDoneStateAreViolations) {
  checker.record_response(job.id, 404, "", RequestKind::query);
  EXPECT_TRUE(checker.violations().empty());
  checker.record_response(job.id, 201, "queued", RequestKind::submission);
  checker.record_response(job.id, 404, "", RequestKind::query);
  EXPECT_EQ(violations_of(simulation::Invariant::accepted_job_durable), 1U);
  checker.record_response(job.id, 200, "done", RequestKind::query);
  EXPECT_EQ(violations_of(simulation::Invariant::done_means_completed), 1U);
  checker.record_response(job.id, 200, "running", RequestKind::query);
  EXPECT_EQ(violations_of(simulation::Invariant::terminal_state_final), 1U);
}

class CloudTest : public testing::Test {
 protected:
  CloudTest() {
    protocol::MachineType type;
    type.name = "big";
    type.boot_time = Seconds{10};
    type.zones = {"a"};
    cloud.add_type(type, 2, 0);
    cloud.on_machine_booted = [this](const auto&, const auto&) { ++booted; };
    cloud.on_machine_removed = [this](const std::string&) { ++removed; };
  }

  transport::HttpResponse rent(const std::string& request_name, int count) {
    transport::HttpResponse out;
    const protocol::Json body = {{"hire", request_name},
                                 {"build", "big"},
                                 {"yard", "a"},
                                 {"loaners", false},
                                 {"how_many", count}};
    cloud.handle({"POST", "/machines", body.dump()},
                 [&out](const transport::HttpResponse& response) { out = response; });
    return out;
  }

  EventQueue queue{1};
  simulation::Cloud cloud{queue, Seconds{3}};
  int booted = 0;
  int removed = 0;
};

TEST_F(CloudTest, RepeatedRentalGetsTheSameMachines) {
  const auto response = rent("r-1", 1);
  EXPECT_EQ(response.status, 200);
  EXPECT_EQ(rent("r-1", 1).body, response.body);
  queue.run_until(60);
  EXPECT_EQ(booted, 1);
}

TEST_F(CloudTest, RentsAtMostTheAvailableMachines) {
  const auto response = rent("r-1", 5);
  EXPECT_EQ(protocol::parse_object(response.body).at("stiles").size(), 2U);
  EXPECT_EQ(rent("r-2", 1).status, 503);
  cloud.reclaim("n-000000");
  EXPECT_EQ(removed, 1);
  EXPECT_EQ(rent("r-2", 1).status, 200);
}

class SimulationTest : public testing::Test {
 protected:
  void run_until(double time) { simulation.queue().run_until(time); }
  simulation::ControllerProcess& controller(const std::string& selector) {
    return simulation.controllers().select(selector);
  }

  simulation::Simulation simulation{simulation::SimulationSettings{}};
};

TEST_F(SimulationTest, CrashedLeaderIsReplacedAndRestarts) {
  simulation.start();
  run_until(20);
  simulation::ControllerProcess* former_leader = simulation.controllers().leader();
  ASSERT_NE(former_leader, nullptr);
  former_leader->crash(Seconds{40});
  EXPECT_FALSE(former_leader->is_running());
  run_until(55);
  ASSERT_NE(simulation.controllers().leader(), nullptr);
  EXPECT_NE(simulation.controllers().leader(), former_leader);
  run_until(61);
  EXPECT_TRUE(former_leader->is_running());
}

TEST_F(SimulationTest, PausedProcessRunsMessagesWhenItResumes) {
  simulation.start();
  int delivered = 0;
  controller("0").pause(Seconds{5});
  controller("0").deliver([&delivered] { ++delivered; });
  run_until(4.9);
  EXPECT_EQ(delivered, 0);
  run_until(5.1);
  EXPECT_EQ(delivered, 1);
}

TEST_F(SimulationTest, PartitionHealsAndDeliversHeldMessages) {
  simulation.start();
  simulation::NetworkPartition partition;
  partition.workers = partition.deliver_on_heal = true;
  simulation.faults().partition(controller("0"), partition, Seconds{5});
  int delivered = 0;
  controller("0").hold([&delivered] { ++delivered; });
  run_until(4.9);
  EXPECT_TRUE(controller("0").partition().workers);
  EXPECT_EQ(delivered, 0);
  run_until(5.1);
  EXPECT_FALSE(controller("0").partition().workers);
  EXPECT_EQ(delivered, 1);
}

TEST_F(SimulationTest, PendingCrashAppliesToTheNextLeader) {
  simulation.faults().crash_next_leader(Seconds{100});
  simulation.start();
  EXPECT_TRUE(simulation.faults().awaits_leader());
  run_until(40);
  EXPECT_FALSE(simulation.faults().awaits_leader());
  EXPECT_EQ(simulation.users().find_job("", false), "");
  int running = 0;
  for (const auto& process : simulation.controllers().processes())
    running += process->is_running() ? 1 : 0;
  EXPECT_EQ(running, 2);
}

TEST_F(SimulationTest, UnknownActionsAndExpectationsThrow) {
  simulation::Statement statement;
  statement.words = {"at", "1", "no_such_action"};
  EXPECT_THROW(simulation::perform_action(simulation, statement), std::runtime_error);
  EXPECT_THROW(simulation::measure(simulation, "no_such_measure"), std::runtime_error);
  EXPECT_EQ(simulation::measure(simulation, "accepted"), 0);
}

TEST(ScenarioFile, SeparatesWordsFromValuesAndDropsComments) {
  const std::string path = testing::TempDir() + "scenario_file_test.txt";
  std::ofstream(path) << "# a comment\n\nat 12 pause duration=2.5 # another\nexpect done >= 3\n";
  const auto statements = simulation::read_scenario_file(path);
  std::remove(path.c_str());
  ASSERT_EQ(statements.size(), 2U);
  EXPECT_EQ(statements[0].line, 3);
  EXPECT_EQ(statements[0].words, (std::vector<std::string>{"at", "12", "pause"}));
  EXPECT_EQ(statements[0].seconds("duration", 10), Seconds{2.5});
  EXPECT_EQ(statements[0].count("times", 1), 1);
  EXPECT_EQ(statements[1].words, (std::vector<std::string>{"expect", "done", ">=", "3"}));
  EXPECT_THROW(simulation::read_scenario_file(path), std::runtime_error);
}

}  // namespace
}  // namespace poppystile
