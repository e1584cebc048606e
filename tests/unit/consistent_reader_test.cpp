/// \file
/// Read results with a current cache, with an outdated cache, and without a timely response.
#include "coordination/api/consistent_reader.hpp"

#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <vector>

#include "unit/shared_state_fixture.hpp"

namespace poppystile::coordination {
namespace {

constexpr const char* job_id = "req-7";

class ConsistentReaderTest : public SharedStateFixture {
 protected:
  void SetUp() override {
    settings.state_limits.rps = 250;
    settings.state_limits.write_rps = 40;
    settings.state_limits.txn_ops = 32;
    load_shared_state();
  }

  void write_job() {
    storage::JobRecord record;
    record.spec.id = job_id;
    record.spec.job_class = "train";
    record.spec.team = "vision";
    record.spec.image = "img-07";
    record.spec.tasks = 1;
    record.spec.task_resources = {1000, 0, 1000};
    simulation::write_record(service, storage::job_key(job_id), storage::encode(record));
  }

  void write_final_record() {
    simulation::write_record(service, storage::final_record_key(job_id),
                             storage::encode_final_state(protocol::JobState::done));
  }

  void run_for(double seconds) { queue.run_until(queue.now() + seconds); }

  std::optional<ReadResult> confirm() {
    std::optional<ReadResult> received;
    reader.confirm_current(job_id, [&](ReadResult result) { received = result; });
    run_for(5);
    return received;
  }

  ConsistentReader reader{caller, key_value_client, shared_state, settings.state_limits};
};

TEST_F(ConsistentReaderTest, ConfirmsACachedJobAsActive) {
  write_job();
  run_for(1);
  ASSERT_NE(shared_state.job(job_id), nullptr);
  EXPECT_EQ(confirm(), ReadResult::active);
}

TEST_F(ConsistentReaderTest, ConfirmsThatAJobWasNeverStored) {
  EXPECT_EQ(confirm(), ReadResult::absent);
}

TEST_F(ConsistentReaderTest, ReadsAFinalStateFromTheCache) {
  write_final_record();
  run_for(1);
  service.set_down(true);
  EXPECT_EQ(confirm(), ReadResult::terminal);
}

TEST_F(ConsistentReaderTest, ReadsAJobThatIsMissingFromTheCache) {
  // The watch delivers the job after the compare has been sent.
  caller.response_delay = Seconds{0.5};
  write_job();
  EXPECT_EQ(confirm(), ReadResult::active);
}

TEST_F(ConsistentReaderTest, ReadsAFinalRecordThatIsMissingFromTheCache) {
  caller.response_delay = Seconds{0.5};
  write_final_record();
  EXPECT_EQ(confirm(), ReadResult::terminal);
}

TEST_F(ConsistentReaderTest, IsUnavailableWithoutTheStateService) {
  service.set_down(true);
  EXPECT_EQ(confirm(), ReadResult::unavailable);
}

TEST_F(ConsistentReaderTest, IsUnavailableWhenTheResponseIsTooOld) {
  caller.response_delay = Seconds{1.5};
  EXPECT_EQ(confirm(), ReadResult::unavailable);
}

TEST_F(ConsistentReaderTest, CombinesQueriesIntoOneCompare) {
  const auto requests_before = service.requests();
  std::vector<ReadResult> results;
  for (int i = 0; i < 10; ++i)
    reader.confirm_current("req-" + std::to_string(i),
                           [&](ReadResult result) { results.push_back(result); });
  run_for(0.2);
  EXPECT_EQ(results, std::vector<ReadResult>(10, ReadResult::absent));
  // One request for the compare, and one for the renewal of the watch.
  EXPECT_EQ(service.requests() - requests_before, 2u);
}

}  // namespace
}  // namespace poppystile::coordination
