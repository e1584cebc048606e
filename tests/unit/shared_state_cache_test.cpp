// The cache of the shared records: cancellations are permanent, and freshness is measured from the
// time at which an answered call was sent.
#include "coordination/state/shared_state_cache.hpp"

#include <gtest/gtest.h>

#include "unit/shared_state_fixture.hpp"

namespace poppystile::coordination {
namespace {

using protocol::Json;

class SharedStateCacheTest : public SharedStateFixture {
 protected:
  void SetUp() override { load_shared_state(); }
  void write(const std::string& key, const Json& value) {
    simulation::write_record(service, key, value);
    queue.run_until(queue.now() + 0.2);
  }
  static Json record(const std::string& id) {
    storage::JobRecord job;
    job.spec.id = id;
    job.spec.job_class = job.spec.team = job.spec.image = "x";
    job.spec.tasks = 1;
    job.spec.task_resources = {1000, 0, 1000};
    return storage::encode(job);
  }
};

TEST_F(SharedStateCacheTest, OlderRecordDoesNotUndoACancellationThatAPeerAdvertised) {
  write(storage::job_key("req-1"), record("req-1"));
  shared_state.apply_cancellation("req-1");
  EXPECT_TRUE(shared_state.job("req-1")->record.cancelled);
  write(storage::job_key("req-1"), record("req-1"));
  EXPECT_TRUE(shared_state.job("req-1")->record.cancelled);
}

TEST_F(SharedStateCacheTest, CancellationAppliesToAJobThatIsNotCachedYet) {
  shared_state.apply_cancellation("req-2");
  write(storage::job_key("req-2"), record("req-2"));
  EXPECT_TRUE(shared_state.job("req-2")->record.cancelled);
  EXPECT_TRUE(shared_state.cancelled().contains("req-2"));
}

TEST_F(SharedStateCacheTest, JobWithAFinalStateIsNoLongerListedAsCancelled) {
  shared_state.apply_cancellation("req-3");
  write(storage::final_record_key("req-3"),
        storage::encode_final_state(protocol::JobState::cancelled));
  EXPECT_TRUE(shared_state.cancelled().empty());
  shared_state.apply_cancellation("req-3");
  EXPECT_TRUE(shared_state.cancelled().empty());
}

TEST_F(SharedStateCacheTest, FreshnessDoesNotAdvanceDuringAnOutage) {
  queue.run_until(10);
  const Seconds age = caller.now() - shared_state.fresh_as_of();
  EXPECT_LT(age, Seconds{2.5});
  service.set_down(true);
  queue.run_until(30);
  EXPECT_GT(caller.now() - shared_state.fresh_as_of(), Seconds{20});
  service.set_down(false);
  queue.run_until(35);
  EXPECT_LT(caller.now() - shared_state.fresh_as_of(), Seconds{2.5});
}

}  // namespace
}  // namespace poppystile::coordination
