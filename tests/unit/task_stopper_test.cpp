#include "coordination/leader/task_stopper.hpp"

#include "unit/leader_parts_fixture.hpp"

namespace poppystile::coordination {
namespace {

class TaskStopperTest : public LeaderPartsFixture {
 protected:
  Job& add_saving_job(JobKind kind) {
    Job& job = add_job("req-1", kind, 2);
    job.record.spec.checkpoint_interval = Seconds{10};
    job.record.spec.checkpoint_save_time = Seconds{3};
    return job;
  }
};

TEST_F(TaskStopperTest, StopsOneTaskOfAnArray) {
  Machine& machine = add_machine("a1");
  Job& job = add_job("req-1", JobKind::array, 2);
  place(machine, job);
  place(machine, job);
  stopper.stop_task(machine.placements[0]);
  EXPECT_TRUE(machine.placements[0].stopping);
  EXPECT_FALSE(machine.placements[1].stopping);
}

TEST_F(TaskStopperTest, StopsAllTasksOfAGangTogether) {
  Machine& machine = add_machine("a1");
  Job& gang = add_job("req-1", JobKind::gang, 2);
  GangTracker::on_placed(gang, 1, caller.now());
  place(machine, gang);
  place(machine, gang);
  stopper.stop_task(machine.placements[0]);
  for (const auto& placement : machine.placements) EXPECT_TRUE(placement.stopping);
}

TEST_F(TaskStopperTest, StopsAllTasksOfACancelledJob) {
  Machine& machine = add_machine("a1");
  Job& job = add_job("req-1", JobKind::array, 2);
  place(machine, job);
  place(machine, job);
  stopper.stop_job("req-2");  // No such job.
  EXPECT_FALSE(machine.placements[0].stopping);
  stopper.stop_job("req-1");
  for (const auto& placement : machine.placements) EXPECT_TRUE(placement.stopping);
}

TEST_F(TaskStopperTest, GracePeriodIsTheSaveTimeOfTasksThatCanSave) {
  Job& job = add_saving_job(JobKind::array);
  EXPECT_EQ(stopper.grace_period(&job), Seconds{3});
  EXPECT_EQ(stopper.grace_period(nullptr), Seconds{0});
  job.record.cancelled = true;
  EXPECT_EQ(stopper.grace_period(&job), Seconds{0});
  job.record.cancelled = false;
  job.record.spec.checkpoint_interval = Seconds{0};
  EXPECT_EQ(stopper.grace_period(&job), Seconds{0});
}

TEST_F(TaskStopperTest, GangHasNoGracePeriodBeforeItRuns) {
  settings.gang_times = protocol::GangTimes{Seconds{40}, Seconds{6}};
  Job& gang = add_saving_job(JobKind::gang);
  GangTracker::on_placed(gang, 1, caller.now());
  EXPECT_EQ(stopper.grace_period(&gang), Seconds{0});
  GangTracker::on_reported(gang, protocol::TaskState::running, caller.now());
  EXPECT_EQ(stopper.grace_period(&gang), Seconds{9});
}

}  // namespace
}  // namespace poppystile::coordination
