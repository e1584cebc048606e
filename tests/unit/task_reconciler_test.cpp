#include "coordination/leader/task_reconciler.hpp"

#include "constants.hpp"
#include "unit/leader_parts_fixture.hpp"

namespace poppystile::coordination {
namespace {

using protocol::ExitCause;
using protocol::TaskState;

class TaskReconcilerTest : public LeaderPartsFixture {};

TEST_F(TaskReconcilerTest, ReportedStateSetsThePhaseAndTheCachedImage) {
  Machine& machine = add_machine("a1");
  Job& job = add_job("req-1", JobKind::array, 1);
  const Placement& placement = place(machine, job);
  auto received = heartbeat(machine, 1);
  received.tasks = {reported(placement, TaskState::fetching)};
  reconciler.reconcile(machine, received);
  EXPECT_EQ(placement.phase, PlacementPhase::fetching);
  EXPECT_FALSE(machine.has_cached("img"));
  received = heartbeat(machine, 2);
  received.tasks = {reported(placement, TaskState::running)};
  reconciler.reconcile(machine, received);
  EXPECT_EQ(placement.phase, PlacementPhase::running);
  EXPECT_EQ(placement.last_reported_sequence, 2u);
  EXPECT_EQ(job.running, 1u);
  EXPECT_TRUE(machine.has_cached("img"));
}

TEST_F(TaskReconcilerTest, FinishedTaskKeepsItsPlacementUntilTheJournalRecordsIt) {
  Machine& machine = add_machine("a1");
  Job& job = add_job("req-1", JobKind::array, 2);
  const Placement& placement = place(machine, job);
  auto received = heartbeat(machine, 1);
  received.tasks = {reported(placement, TaskState::exited, ExitCause::done)};
  reconciler.reconcile(machine, received);
  EXPECT_EQ(job.finished, 1u);
  ASSERT_EQ(machine.placements.size(), 1u);
  EXPECT_TRUE(machine.placements[0].finished);
  EXPECT_FALSE(journal.is_durable(machine.placements[0].log_position));
  EXPECT_EQ(machine.used.cpus, 0);
  EXPECT_EQ(plan_requests, 1);
}

TEST_F(TaskReconcilerTest, FailedTaskIsRequeued) {
  Machine& machine = add_machine("a1");
  Job& job = add_job("req-1", JobKind::array, 1);
  const Placement& placement = place(machine, job);
  auto received = heartbeat(machine, 1);
  received.tasks = {reported(placement, TaskState::exited, ExitCause::error)};
  reconciler.reconcile(machine, received);
  EXPECT_EQ(job.waiting(), 1u);
  EXPECT_TRUE(machine.placements.empty());
  EXPECT_EQ(machine.failures, 1);
}

TEST_F(TaskReconcilerTest, TaskThatIsNoLongerReportedIsRequeued) {
  Machine& machine = add_machine("a1");
  Job& job = add_job("req-1", JobKind::array, 1);
  const Placement& placement = place(machine, job);
  auto received = heartbeat(machine, 1);
  received.tasks = {reported(placement, TaskState::running)};
  reconciler.reconcile(machine, received);
  reconciler.reconcile(machine, heartbeat(machine, 2));
  EXPECT_EQ(job.waiting(), 1u);
  EXPECT_EQ(job.running, 0u);
  EXPECT_TRUE(machine.placements.empty());
}

TEST_F(TaskReconcilerTest, UnreportedTaskOfAWorkerWithoutTheLeadersTokenKeepsItsPlacement) {
  Machine& machine = add_machine("a1");
  machine.has_acknowledged_token = false;
  Job& job = add_job("req-1", JobKind::array, 1);
  place(machine, job).last_reported_sequence = 1;
  reconciler.reconcile(machine, heartbeat(machine, 2));
  EXPECT_EQ(job.waiting(), 0u);
  EXPECT_EQ(machine.placements.size(), 1u);
}

TEST_F(TaskReconcilerTest, PlacementIsRemovedAfterTooManyUnacknowledgedStarts) {
  Machine& machine = add_machine("a1");
  Job& job = add_job("req-1", JobKind::array, 1);
  Placement& placement = place(machine, job);
  placement.start_incarnation = machine.incarnation;
  std::uint64_t sequence = 1;
  for (int i = 1; i < constants::max_unacknowledged_starts; ++i) {
    placement.start_sequence = sequence++;
    reconciler.reconcile(machine, heartbeat(machine, sequence));
    EXPECT_EQ(job.waiting(), 0u);
  }
  // A heartbeat cannot report a start that is sent in the response to it.
  placement.start_sequence = sequence;
  reconciler.reconcile(machine, heartbeat(machine, sequence));
  EXPECT_EQ(job.waiting(), 0u);
  reconciler.reconcile(machine, heartbeat(machine, sequence + 1));
  EXPECT_EQ(job.waiting(), 1u);
  EXPECT_TRUE(machine.is_unresponsive);
}

TEST_F(TaskReconcilerTest, OneFinishedTaskCompletesItsGang) {
  Machine& machine = add_machine("a1");
  Job& gang = add_job("req-1", JobKind::gang, 2);
  GangTracker::on_placed(gang, 1, caller.now());
  place(machine, gang);
  place(machine, gang);
  auto received = heartbeat(machine, 1);
  received.tasks = {reported(machine.placements[0], TaskState::exited, ExitCause::done)};
  reconciler.reconcile(machine, received);
  EXPECT_TRUE(gang.all_finished());
}

TEST_F(TaskReconcilerTest, EvictionFreesTheMachineAndRequeuesItsTasks) {
  Machine& machine = add_machine("a1");
  Job& job = add_job("req-1", JobKind::array, 3);
  for (int i = 0; i < 3; ++i) place(machine, job);
  EXPECT_GT(machine.used.cpus, 0);
  reconciler.evict_all(machine, "test");
  EXPECT_TRUE(machine.placements.empty());
  EXPECT_EQ(machine.used.cpus, 0);
  EXPECT_EQ(job.waiting(), 3u);
}

}  // namespace
}  // namespace poppystile::coordination
