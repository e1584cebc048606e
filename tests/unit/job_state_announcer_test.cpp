/// \file
/// How long responses wait for the peers, and what an announcement changes at a peer. Guards
/// against two controllers that report a job's states to a user in the wrong order.
#include "coordination/peers/job_state_announcer.hpp"

#include <gtest/gtest.h>

#include "constants.hpp"
#include "coordination/api/consistent_reader.hpp"
#include "unit/fake_peer_transport.hpp"
#include "unit/shared_state_fixture.hpp"

namespace poppystile::coordination {
namespace {

using protocol::AnnouncedState;
using protocol::JobStateMessage;

constexpr const char* job = "req-000412";

class JobStateAnnouncerTest : public SharedStateFixture {
 protected:
  void SetUp() override {
    settings.name = "stile-0";
    settings.peers = {{"stile-1", "a", {}}, {"stile-2", "b", {}}};
    settings.state_limits.rps = 250;
    settings.state_limits.txn_ops = 32;
    load_shared_state();
  }
  void run_for(Seconds duration) { queue.run_until(queue.now() + duration.count()); }
  /// Announces the cancellation of a job; `responses` counts the responses that were sent.
  void announce_cancellation() {
    shared_state.apply_cancellation(job);
    announcer.announce(job, [this] { ++responses; });
  }
  void deliver(JobStateMessage::Kind kind, const std::string& sender,
               const std::string& announced_by, AnnouncedState state) {
    announcer.handle_frame(
        protocol::encode_job_state_message({kind, sender, announced_by, 7, job, state}));
  }
  void acknowledge(const std::string& sender) {
    deliver(JobStateMessage::Kind::acknowledgement, sender, "stile-0", AnnouncedState::cancelled);
  }

  FakePeerTransport peers;
  JobStateAnnouncer announcer{caller, peers, settings, shared_state, 7};
  ConsistentReader reader{caller, key_value_client, shared_state, settings.state_limits};
  int responses = 0;
};

TEST_F(JobStateAnnouncerTest, RespondsOnceAllPeersHaveAcknowledged) {
  announce_cancellation();
  acknowledge("stile-1");
  acknowledge("stile-1");
  EXPECT_EQ(responses, 0);
  acknowledge("stile-2");
  EXPECT_EQ(responses, 1);
  announcer.announce(job, [this] { ++responses; });
  EXPECT_EQ(responses, 2);
  EXPECT_EQ(peers.frames.size(), 1u);
}

TEST_F(JobStateAnnouncerTest, RespondsWithoutAcknowledgementsOnceNoPeerMayRespondFromAnOlderRead) {
  announce_cancellation();
  run_for(constants::max_read_age);
  EXPECT_EQ(responses, 0);
  run_for(constants::announcement_timeout - constants::max_read_age + Seconds{0.001});
  EXPECT_EQ(responses, 1);
  announcer.announce(job, [this] { ++responses; });
  EXPECT_EQ(responses, 2);
  EXPECT_EQ(peers.frames.size(), 1u);
}

TEST_F(JobStateAnnouncerTest, AppliesAndAcknowledgesAnnouncementsOfPeersOnly) {
  deliver(JobStateMessage::Kind::announcement, "stile-9", "stile-9", AnnouncedState::done);
  EXPECT_FALSE(shared_state.final_state(job));
  deliver(JobStateMessage::Kind::announcement, "stile-1", "stile-1", AnnouncedState::done);
  EXPECT_EQ(shared_state.final_state(job), protocol::JobState::done);
  ASSERT_EQ(peers.frames.size(), 1u);
  const auto acknowledgement = protocol::decode_job_state_message(peers.frames[0]);
  ASSERT_TRUE(acknowledgement);
  EXPECT_EQ(acknowledgement->announcer, "stile-1");
  EXPECT_EQ(acknowledgement->kind, JobStateMessage::Kind::acknowledgement);
}

TEST_F(JobStateAnnouncerTest, ReportsAnAcceptanceAfterAShortHoldWithoutAcknowledgements) {
  storage::JobRecord record;
  record.spec.id = job;
  record.spec.job_class = record.spec.team = record.spec.image = "x";
  record.spec.tasks = 1;
  record.spec.task_resources = {1000, 0, 1000};
  shared_state.apply_response(storage::job_key(job), storage::encode(record), 99);
  announcer.announce(job, [this] { ++responses; });
  EXPECT_EQ(responses, 0);
  run_for(constants::max_acceptance_hold);
  EXPECT_EQ(responses, 1);
}

// The job was accepted while the read was under way.
TEST_F(JobStateAnnouncerTest, ReadSentBeforeAnAcceptanceDoesNotReportTheJobAsAbsent) {
  caller.response_delay = Seconds{0.3};
  std::optional<ReadResult> result;
  reader.confirm_current(job, [&](ReadResult read_result) { result = read_result; });
  run_for(Seconds{0.1});
  deliver(JobStateMessage::Kind::announcement, "stile-1", "stile-1", AnnouncedState::accepted);
  run_for(Seconds{1});
  EXPECT_EQ(result, ReadResult::unavailable);
}

}  // namespace
}  // namespace poppystile::coordination
