#include "coordination/leader/heartbeat_handler.hpp"

#include "unit/leader_parts_fixture.hpp"

namespace poppystile::coordination {
namespace {

using protocol::Command;
using protocol::ExitCause;
using protocol::TaskState;

class HeartbeatHandlerTest : public LeaderPartsFixture {
 protected:
  protocol::Properties properties;
  FleetManager fleet{caller, caller, store, shared_state, election, journal, settings, properties};
  HeartbeatHandler handler{
      caller,     cluster_state, election, journal,  fleet,
      reconciler, health,        stopper,  settings, [this] { ++plan_requests; }};
};

TEST_F(HeartbeatHandlerTest, OnlyNewerHeartbeatsCount) {
  Machine& machine = add_machine("a1");
  machine.incarnation = 3;
  machine.sequence = 7;
  EXPECT_FALSE(HeartbeatHandler::is_newer(heartbeat(machine, 7), machine));
  EXPECT_TRUE(HeartbeatHandler::is_newer(heartbeat(machine, 8), machine));
  auto other = heartbeat(machine, 99);
  other.incarnation = 2;
  EXPECT_FALSE(HeartbeatHandler::is_newer(other, machine));
  other.incarnation = 4;
  other.sequence = 1;
  EXPECT_TRUE(HeartbeatHandler::is_newer(other, machine));
}

TEST_F(HeartbeatHandlerTest, MachineWithoutOurTokenIsNotAdopted) {
  auto beat = heartbeat(Machine{}, 1);
  beat.machine = "n-1";
  beat.token = 3;  // not ours, which is 0
  EXPECT_EQ(handler.find_or_adopt_machine(beat), nullptr);
  EXPECT_TRUE(cluster_state.machines.empty());
  const Machine& known = add_machine("n-2");
  beat.machine = "n-2";
  EXPECT_EQ(handler.find_or_adopt_machine(beat), &known);
}

TEST_F(HeartbeatHandlerTest, NewIncarnationEndsAllTasksOfTheLast) {
  Machine& machine = add_machine("a1");
  Job& job = add_job("req-1", JobKind::array, 2);
  place(machine, job);
  auto beat = heartbeat(machine, 1);
  beat.incarnation = machine.incarnation + 1;
  handler.process(machine, beat);
  EXPECT_EQ(machine.incarnation, beat.incarnation);
  EXPECT_TRUE(machine.placements.empty());
  EXPECT_EQ(job.waiting(), 2u);
  // It was answered just now, and its lease should not have expired.
  EXPECT_TRUE(machine.is_unresponsive);
}

TEST_F(HeartbeatHandlerTest, UnknownTasksAreStoppedAndExitedOnesForgotten) {
  Machine& machine = add_machine("a1");
  auto beat = heartbeat(machine, 1);
  beat.tasks = {{"req-8", 0, 1, TaskState::running, ExitCause::none, false},
                {"req-9", 0, 1, TaskState::exited, ExitCause::stopped, false}};
  const auto commands = handler.process(machine, beat);
  ASSERT_EQ(commands.size(), 2u);
  EXPECT_EQ(commands[0].op, Command::Op::stop);
  EXPECT_EQ(commands[1].op, Command::Op::forget);
}

TEST_F(HeartbeatHandlerTest, FinishedTaskIsKeptUntilTheJournalRecordsIt) {
  Machine& machine = add_machine("a1");
  Job& job = add_job("req-1", JobKind::array, 1);
  const Placement& placement = place(machine, job);
  auto beat = heartbeat(machine, 1);
  beat.tasks = {reported(placement, TaskState::exited, ExitCause::done)};
  EXPECT_TRUE(handler.process(machine, beat).empty());
  EXPECT_EQ(machine.placements.size(), 1u);
}

TEST_F(HeartbeatHandlerTest, PreemptionNoticeStopsServicesAtOnceAndOthersInTime) {
  Machine& machine = add_machine("a1");
  place(machine, add_job("req-1", JobKind::service, 1));
  place(machine, add_job("req-2", JobKind::array, 1));
  auto beat = heartbeat(machine, 1);
  for (const auto& placement : machine.placements)
    beat.tasks.push_back(reported(placement, TaskState::running));
  beat.preemption_notice = Seconds{20};
  EXPECT_EQ(handler.process(machine, beat).size(), 1u);
  EXPECT_TRUE(machine.preemption_noticed);
  EXPECT_TRUE(machine.placements[0].stopping);
  EXPECT_FALSE(machine.placements[1].stopping);
  beat.sequence = 2;
  beat.preemption_notice = Seconds{5};  // two and a half heartbeats
  EXPECT_EQ(handler.process(machine, beat).size(), 2u);
  EXPECT_TRUE(machine.placements[1].stopping);
}

}  // namespace
}  // namespace poppystile::coordination
