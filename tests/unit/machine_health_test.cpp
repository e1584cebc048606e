#include "coordination/leader/machine_health.hpp"

#include "constants.hpp"
#include "unit/leader_parts_fixture.hpp"

namespace poppystile::coordination {
namespace {

using protocol::ExitCause;

class MachineHealthTest : public LeaderPartsFixture {};

TEST_F(MachineHealthTest, JobThatFailsOnASecondMachineIsRetriedLaterWithoutCountingAgainstIt) {
  Machine& first = add_machine("a1");
  Machine& second = add_machine("a2");
  Job& job = add_job("req-1", JobKind::array, 4);
  health.record_failure(first, place(first, job), ExitCause::error);
  EXPECT_EQ(first.failures, 1);
  health.record_failure(second, place(second, job), ExitCause::error);
  EXPECT_EQ(second.failures, 0);
  EXPECT_EQ(job.retry_pause, constants::initial_retry_pause);
  EXPECT_EQ(job.retry_at, caller.now() + constants::initial_retry_pause);
  // Tasks that fail within the same retry pause count as one failure.
  health.record_failure(second, place(second, job), ExitCause::error);
  EXPECT_EQ(job.retry_pause, constants::initial_retry_pause);
  advance(constants::initial_retry_pause);
  health.record_failure(second, place(second, job), ExitCause::error);
  EXPECT_EQ(job.retry_pause, 2 * constants::initial_retry_pause);
}

TEST_F(MachineHealthTest, MachineThatFailsSeveralJobsIsQuarantined) {
  Machine& machine = add_machine("a1");
  for (int i = 1; i <= constants::quarantine_failures; ++i) {
    EXPECT_FALSE(machine.quarantined);
    Job& job = add_job("req-" + std::to_string(i), JobKind::array, 1);
    health.record_failure(machine, place(machine, job), ExitCause::error);
  }
  EXPECT_TRUE(machine.quarantined);
  EXPECT_GT(machine.avoid_until, caller.now());
  for (const auto& placement : machine.placements) EXPECT_TRUE(placement.stopping);
}

TEST_F(MachineHealthTest, StopsAndLossesOfGangPeersCountAgainstNeitherMachineNorJob) {
  Machine& machine = add_machine("a1");
  Job& job = add_job("req-1", JobKind::array, 1);
  const Placement& placement = place(machine, job);
  for (const ExitCause cause :
       {ExitCause::stopped, ExitCause::peer_lost, ExitCause::gang_incomplete})
    health.record_failure(machine, placement, cause);
  EXPECT_EQ(machine.failures, 0);
  EXPECT_TRUE(job.failed_machines.empty());
}

TEST_F(MachineHealthTest, IncarnationsThatReportNoStartMakeAMachineUnresponsive) {
  Machine& machine = add_machine("a1");
  Job& job = add_job("req-1", JobKind::array, 1);
  place(machine, job).start_incarnation = machine.incarnation;
  for (int i = 1; i < constants::max_unacknowledged_starts; ++i)
    health.evaluate_incarnation(machine);
  EXPECT_FALSE(machine.is_unresponsive);
  health.evaluate_incarnation(machine);
  EXPECT_TRUE(machine.is_unresponsive);
}

TEST_F(MachineHealthTest, ReportedStartResetsTheCountOfIncarnations) {
  Machine& machine = add_machine("a1");
  Job& job = add_job("req-1", JobKind::array, 1);
  Placement& placement = place(machine, job);
  placement.start_incarnation = machine.incarnation;
  health.evaluate_incarnation(machine);
  EXPECT_EQ(machine.incarnations_without_start, 1);
  placement.last_reported_sequence = 5;
  health.evaluate_incarnation(machine);
  EXPECT_EQ(machine.incarnations_without_start, 0);
}

TEST_F(MachineHealthTest, IncarnationThatOutlastsALeaseProvesThatResponsesArrive) {
  Machine& machine = add_machine("a1");
  health.mark_unresponsive(machine, "test");
  advance(settings.worker_lease);
  health.evaluate_responsiveness(machine);
  EXPECT_TRUE(machine.is_unresponsive);
  advance(Seconds{2});
  health.evaluate_responsiveness(machine);
  EXPECT_FALSE(machine.is_unresponsive);
}

}  // namespace
}  // namespace poppystile::coordination
