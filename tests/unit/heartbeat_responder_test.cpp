#include "coordination/leader/heartbeat_responder.hpp"

#include "constants.hpp"
#include "unit/leader_parts_fixture.hpp"

namespace poppystile::coordination {
namespace {

class HeartbeatResponderTest : public LeaderPartsFixture {
 protected:
  // Responds to the machine's next heartbeat, and counts the response when it is sent.
  void respond(Machine& machine, bool expects_placements) {
    responder.respond(machine, heartbeat(machine, ++sequence), {}, expects_placements,
                      [this](const transport::HttpResponse& response) {
                        ++responses;
                        last_response = response;
                      });
  }

  HeartbeatResponder responder{caller, cluster_state, election, journal};
  std::uint64_t sequence = 0;
  int responses = 0;
  transport::HttpResponse last_response;
};

TEST_F(HeartbeatResponderTest, RespondsAtOnceWhenNoPlacementIsExpected) {
  Machine& machine = add_machine("a1");
  respond(machine, false);
  EXPECT_EQ(responses, 1);
  EXPECT_EQ(last_response.status, 200);
  EXPECT_TRUE(machine.has_been_answered);
  EXPECT_FALSE(responder.has_pending());
}

TEST_F(HeartbeatResponderTest, DurableStartIsSentWithTheResponse) {
  Machine& machine = add_machine("a1");
  Job& job = add_job("req-1", JobKind::array, 1);
  const Placement& placement = place(machine, job);  // Log position 0 is durable.
  respond(machine, false);
  EXPECT_EQ(responses, 1);
  EXPECT_NE(last_response.body.find("req-1"), std::string::npos);
  EXPECT_EQ(placement.start_incarnation, machine.incarnation);
  EXPECT_EQ(placement.start_sequence, sequence);
}

TEST_F(HeartbeatResponderTest, ResponseIsSentWithoutAStartThatIsNotDurableInTime) {
  Machine& machine = add_machine("a1");
  Job& job = add_job("req-1", JobKind::array, 1);
  place(machine, job).log_position = 1;
  respond(machine, false);
  responder.on_planned();
  EXPECT_EQ(responses, 0);
  advance(constants::max_response_hold);
  responder.send_due();
  EXPECT_EQ(responses, 1);
  EXPECT_EQ(last_response.body.find("req-1"), std::string::npos);
  EXPECT_EQ(machine.placements[0].start_sequence, 0u);
}

TEST_F(HeartbeatResponderTest, ResponseThatExpectsPlacementsIsSentAfterThePlan) {
  Machine& machine = add_machine("a1");
  respond(machine, true);
  responder.send_due();
  EXPECT_EQ(responses, 0);
  responder.on_planned();
  EXPECT_EQ(responses, 1);
}

TEST_F(HeartbeatResponderTest, WorkerWithoutTheLeadersTokenGetsNoStart) {
  Machine& machine = add_machine("a1");
  machine.has_acknowledged_token = false;
  Job& job = add_job("req-1", JobKind::array, 1);
  place(machine, job);
  respond(machine, true);
  EXPECT_EQ(responses, 1);
  EXPECT_EQ(last_response.body.find("req-1"), std::string::npos);
}

TEST_F(HeartbeatResponderTest, NewerHeartbeatReplacesTheHeldResponse) {
  Machine& machine = add_machine("a1");
  respond(machine, true);
  respond(machine, true);
  responder.on_planned();
  EXPECT_EQ(responses, 1);
}

TEST_F(HeartbeatResponderTest, HeldResponsesAreRedirectedWhenTheTermEnds) {
  Machine& machine = add_machine("a1");
  respond(machine, true);
  responder.redirect_all();
  EXPECT_EQ(responses, 1);
  EXPECT_EQ(last_response.status, 421);
  EXPECT_FALSE(responder.has_pending());
}

}  // namespace
}  // namespace poppystile::coordination
