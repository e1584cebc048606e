// Conditions under which a leader may keep worker leases alive in an outage of the state service
// (docs/design.md), one test for each condition on the peers' statuses.
#include "coordination/controller.hpp"

#include <gtest/gtest.h>

#include <algorithm>

#include "constants.hpp"
#include "simulation/event_queue.hpp"
#include "simulation/fake_http_caller.hpp"
#include "simulation/state_service.hpp"
#include "unit/fake_peer_transport.hpp"

namespace poppystile::coordination {
namespace {

using protocol::Json;
using protocol::PeerStatus;
using transport::HttpResponse;

constexpr Seconds outage_at{10};
constexpr Seconds worker_lease{10};
constexpr Seconds cancel_timeout{35};
// How long a leader may respond after the start of an outage without confirmations of its peers.
constexpr Seconds response_budget = cancel_timeout - worker_lease - 3 * constants::lease_margin;

class ControllerTest : public testing::Test {
 protected:
  void SetUp() override {
    controller.start();
    queue.run_until(outage_at.count());
    ASSERT_TRUE(controller.is_leader());
    service.set_down(true);
  }

  static protocol::Settings make_settings() {
    protocol::Settings settings;
    settings.name = "stile-0";
    settings.peers = {{"stile-1", "a", {}}, {"stile-2", "b", {}}};
    settings.worker_lease = worker_lease;
    settings.cancel_timeout = cancel_timeout;
    settings.state_limits.rps = 250;
    settings.state_limits.write_rps = 40;
    settings.state_limits.txn_ops = 32;
    return settings;
  }

  // Returns a status that the peer would send now if it had lost the state service at `outage_at`.
  PeerStatus make_status(const std::string& name) const {
    PeerStatus status;
    status.name = name;
    status.incarnation = 7;
    status.started_at = caller.wall_now() - Seconds{queue.now()};
    status.token = controller.token();
    status.sent_at = caller.wall_now();
    status.state_contact_at = status.fresh_as_of_wall =
        caller.wall_now() - Seconds{queue.now()} + outage_at;
    return status;
  }
  void deliver(const PeerStatus& status) const {
    peers.deliver_frame(protocol::encode_peer_status(status));
  }

  // Delivers the statuses of both peers each second for the given time, modified by `change`; a
  // status whose name `change` clears is not delivered. Returns whether a heartbeat is answered
  // afterwards.
  bool responds_after(Seconds duration, const std::function<void(PeerStatus&)>& change) {
    for (double end = queue.now() + duration.count(); queue.now() < end;) {
      for (const char* name : {"stile-1", "stile-2"}) {
        PeerStatus status = make_status(name);
        change(status);
        if (!status.name.empty()) deliver(status);
      }
      queue.run_until(queue.now() + 1);
    }
    return responds();
  }

  bool responds() {
    const Json heartbeat = {{"stile", "n-1"},         {"addr", "10.1.0.1:9000"},
                            {"build", "g"},           {"yard", "a"},
                            {"loaners", false},       {"shift", 1},
                            {"tick", ++tick},         {"baton", controller.token()},
                            {"pieces", Json::array()}};
    HttpResponse response;
    controller.handle({"POST", "/agent/beat", heartbeat.dump()},
                      [&](HttpResponse received) { response = std::move(received); });
    queue.run_until(queue.now() + 1);
    return response.status == 200;
  }

  simulation::EventQueue queue{3};
  simulation::StateService service{queue, 250, 40, 32};
  simulation::FakeHttpCaller caller{queue, service, 0};
  FakePeerTransport peers;
  protocol::Settings settings = make_settings();
  protocol::Properties properties;
  Controller controller{caller, caller, peers, settings, properties, 11};
  std::uint64_t tick = 0;
};

TEST_F(ControllerTest, IsolatedLeaderStopsRespondingSoThatLeasesExpireWithinTheCancelTimeout) {
  EXPECT_TRUE(
      responds_after(response_budget - Seconds{3}, [](auto& status) { status.name.clear(); }));
  queue.run_until(queue.now() + 4);
  EXPECT_FALSE(responds());
}

TEST_F(ControllerTest, ConfirmingPeersKeepLeasesAliveThroughAnOutage) {
  EXPECT_TRUE(responds_after(4 * cancel_timeout, [](auto&) {}));
}

TEST_F(ControllerTest, MissingConfirmationsOfOnePeerPreventResponses) {
  EXPECT_FALSE(responds_after(response_budget + Seconds{1}, [](auto& status) {
    if (status.name == "stile-2") status.name.clear();
  }));
}

TEST_F(ControllerTest, IncompleteListOfCancellationsConfirmsNothing) {
  EXPECT_FALSE(responds_after(response_budget + Seconds{1}, [](auto& status) {
    if (status.name == "stile-2") status.cancelled_is_complete = false;
  }));
}

TEST_F(ControllerTest, StatusesConfirmOnlyUpToTheTimeAtWhichTheyWereSent) {
  const WallTime last_sent_at = caller.wall_now();
  EXPECT_FALSE(responds_after(response_budget + Seconds{1}, [&](auto& status) {
    status.sent_at = std::min(status.sent_at, last_sent_at);
  }));
}

// The earlier incarnation may have confirmed a cancellation to a user that no status has listed.
TEST_F(ControllerTest, RestartedPeerWithoutSharedStateDoesNotConfirmForItsEarlierIncarnation) {
  ASSERT_TRUE(responds_after(Seconds{3}, [](auto&) {}));
  const WallTime restarted_at = caller.wall_now();
  EXPECT_FALSE(responds_after(response_budget + Seconds{1}, [&](auto& status) {
    if (status.name != "stile-2") return;
    status.incarnation = 8;
    status.started_at = restarted_at;
    status.fresh_as_of_wall = {};
  }));
}

TEST_F(ControllerTest, RestartedPeerThatHasLoadedTheSharedStateConfirms) {
  ASSERT_TRUE(responds_after(Seconds{3}, [](auto&) {}));
  const WallTime restarted_at = caller.wall_now();
  EXPECT_TRUE(responds_after(2 * cancel_timeout, [&](auto& status) {
    if (status.name != "stile-2") return;
    status.incarnation = 8;
    status.started_at = restarted_at;
    status.fresh_as_of_wall = restarted_at + Seconds{0.5};
  }));
}

TEST_F(ControllerTest, PeerWithNewerSharedStateConfirmsForARestartedPeer) {
  const WallTime restarted_at = caller.wall_now();
  EXPECT_TRUE(responds_after(2 * cancel_timeout, [&](auto& status) {
    if (status.name == "stile-2") {
      status.incarnation = 8;
      status.started_at = restarted_at - Seconds{5};
      status.fresh_as_of_wall = {};
    } else {
      status.fresh_as_of_wall = restarted_at;
    }
  }));
}

TEST_F(ControllerTest, StepsDownWhenAPeerReportsAHigherToken) {
  PeerStatus status = make_status("stile-1");
  ++status.token;
  deliver(status);
  EXPECT_FALSE(controller.is_leader());
}

}  // namespace
}  // namespace poppystile::coordination
