#include "coordination/leader/job_registry.hpp"

#include "unit/leader_parts_fixture.hpp"

namespace poppystile::coordination {
namespace {

class JobRegistryTest : public LeaderPartsFixture {
 protected:
  void write_job(bool cancelled) {
    storage::JobRecord record;
    record.spec = planning::spec("req-1", JobKind::array, 3, Priority::normal);
    record.cancelled = cancelled;
    shared_state.apply_response(storage::job_key("req-1"), storage::encode(record), ++version);
  }

  JobRegistry jobs{cluster_state, shared_state, stopper, finalizer, [this] { ++plan_requests; }};
  std::uint64_t version = 0;
};

TEST_F(JobRegistryTest, AppliesAJobsRecordsUntilTheRecordIsDeleted) {
  load_shared_state();
  version = shared_state.revision();
  write_job(false);
  jobs.on_changed("req-1");
  ASSERT_NE(cluster_state.job("req-1"), nullptr);
  EXPECT_EQ(cluster_state.job("req-1")->waiting(), 3u);
  EXPECT_EQ(plan_requests, 1);
  EXPECT_EQ(jobs.ids(10).size(), 1u);
  EXPECT_TRUE(jobs.ids(0).empty());
  Machine& machine = add_machine("a1");
  place(machine, *cluster_state.job("req-1"));
  write_job(true);
  jobs.on_changed("req-1");
  EXPECT_TRUE(cluster_state.job("req-1")->record.cancelled);
  EXPECT_EQ(cluster_state.job("req-1")->version, version);
  EXPECT_TRUE(machine.placements[0].stopping);
  shared_state.apply_response(storage::job_key("req-1"), std::nullopt, ++version);
  jobs.on_changed("req-1");
  EXPECT_EQ(cluster_state.job("req-1"), nullptr);
}

TEST_F(JobRegistryTest, CountsOfAnUnknownJobAreZero) {
  EXPECT_EQ(jobs.counts("req-1").done, 0u);
  EXPECT_EQ(jobs.counts("req-1").running, 0u);
  Job& job = add_job("req-1", JobKind::array, 3);
  job.finish(0);
  EXPECT_EQ(jobs.counts("req-1").done, 1u);
}

}  // namespace
}  // namespace poppystile::coordination
