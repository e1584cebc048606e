#include "coordination/leader/heartbeat_handler.hpp"

#include "constants.hpp"
#include "coordination/leader/heartbeat_responder.hpp"
#include "unit/leader_parts_fixture.hpp"

namespace poppystile::coordination {
namespace {

using protocol::Command;
using protocol::ExitCause;
using protocol::TaskState;

class HeartbeatHandlerTest : public LeaderPartsFixture {
 protected:
  protocol::Properties properties;
  FleetManager fleet{caller,   caller,  key_value_client, shared_state,
                     election, journal, settings,         properties};
  HeartbeatHandler handler{
      caller,     cluster_state, election, journal,  fleet,
      reconciler, health,        stopper,  settings, [this] { ++plan_requests; }};
};

TEST_F(HeartbeatHandlerTest, HeartbeatsAreOrderedByIncarnationAndThenBySequence) {
  Machine& machine = add_machine("a1");
  machine.incarnation = 3;
  machine.sequence = 7;
  EXPECT_FALSE(HeartbeatHandler::is_newer(heartbeat(machine, 7), machine));
  EXPECT_TRUE(HeartbeatHandler::is_newer(heartbeat(machine, 8), machine));
  auto compared_heartbeat = heartbeat(machine, 99);
  compared_heartbeat.incarnation = 2;
  EXPECT_FALSE(HeartbeatHandler::is_newer(compared_heartbeat, machine));
  compared_heartbeat.incarnation = 4;
  compared_heartbeat.sequence = 1;
  EXPECT_TRUE(HeartbeatHandler::is_newer(compared_heartbeat, machine));
}

TEST_F(HeartbeatHandlerTest, MachineWithoutTheLeadersTokenIsNotAdopted) {
  auto received = heartbeat(Machine{}, 1);
  received.machine = "n-1";
  received.token = 3;  // The leader's token is 0.
  EXPECT_EQ(handler.find_or_adopt_machine(received), nullptr);
  EXPECT_TRUE(cluster_state.machines.empty());
  const Machine& known_machine = add_machine("n-2");
  received.machine = "n-2";
  EXPECT_EQ(handler.find_or_adopt_machine(received), &known_machine);
}

TEST_F(HeartbeatHandlerTest, NewIncarnationEvictsAllTasksOfThePreviousOne) {
  Machine& machine = add_machine("a1");
  Job& job = add_job("req-1", JobKind::array, 2);
  place(machine, job);
  auto received = heartbeat(machine, 1);
  received.incarnation = machine.incarnation + 1;
  handler.process(machine, received);
  EXPECT_EQ(machine.incarnation, received.incarnation);
  EXPECT_TRUE(machine.placements.empty());
  EXPECT_EQ(job.waiting(), 2u);
  // A response was sent just now, so the lease could expire only if that response did not arrive.
  EXPECT_TRUE(machine.is_unresponsive);
}

TEST_F(HeartbeatHandlerTest, UnknownTasksAreStoppedAndExitedTasksForgotten) {
  Machine& machine = add_machine("a1");
  auto received = heartbeat(machine, 1);
  received.tasks = {{"req-8", 0, 1, TaskState::running, ExitCause::none, false},
                    {"req-9", 0, 1, TaskState::exited, ExitCause::stopped, false}};
  const auto commands = handler.process(machine, received);
  ASSERT_EQ(commands.size(), 2u);
  EXPECT_EQ(commands[0].op, Command::Op::stop);
  EXPECT_EQ(commands[1].op, Command::Op::forget);
}

TEST_F(HeartbeatHandlerTest, FinishedTaskIsKeptUntilTheJournalRecordsIt) {
  Machine& machine = add_machine("a1");
  Job& job = add_job("req-1", JobKind::array, 1);
  const Placement& placement = place(machine, job);
  auto received = heartbeat(machine, 1);
  received.tasks = {reported(placement, TaskState::exited, ExitCause::done)};
  EXPECT_TRUE(handler.process(machine, received).empty());
  EXPECT_EQ(machine.placements.size(), 1u);
}

// Guards against a copy of a start command that reaches a worker after it has forgotten the
// attempt: the task would run again, beside its next attempt on another machine.
TEST_F(HeartbeatHandlerTest, ExitedTaskIsKeptWhileACopyOfItsStartMayBeExecuted) {
  Machine& machine = add_machine("a1");
  const Placement placement = place(machine, add_job("req-1", JobKind::array, 1));
  HeartbeatResponder(caller, cluster_state, election, journal)
      .respond(machine, heartbeat(machine, 1), {}, false, [](const transport::HttpResponse&) {});
  auto received = heartbeat(machine, 2);
  received.tasks = {reported(placement, TaskState::exited, ExitCause::error)};
  EXPECT_TRUE(handler.process(machine, received).empty());
  EXPECT_TRUE(machine.placements.empty());
  advance(constants::worker_response_timeout + Seconds{0.1});
  received.sequence = 3;
  const auto commands = handler.process(machine, received);
  ASSERT_EQ(commands.size(), 1u);
  EXPECT_EQ(commands[0].op, Command::Op::forget);
}

TEST_F(HeartbeatHandlerTest, PreemptionNoticeStopsServicesAtOnceAndOtherTasksInTime) {
  Machine& machine = add_machine("a1");
  place(machine, add_job("req-1", JobKind::service, 1));
  place(machine, add_job("req-2", JobKind::array, 1));
  auto received = heartbeat(machine, 1);
  for (const auto& placement : machine.placements)
    received.tasks.push_back(reported(placement, TaskState::running));
  received.preemption_notice = Seconds{20};
  EXPECT_EQ(handler.process(machine, received).size(), 1u);
  EXPECT_TRUE(machine.preemption_noticed);
  EXPECT_TRUE(machine.placements[0].stopping);
  EXPECT_FALSE(machine.placements[1].stopping);
  received.sequence = 2;
  received.preemption_notice = Seconds{5};  // Two and a half heartbeat intervals.
  EXPECT_EQ(handler.process(machine, received).size(), 2u);
  EXPECT_TRUE(machine.placements[1].stopping);
}

}  // namespace
}  // namespace poppystile::coordination
