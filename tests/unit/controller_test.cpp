// What lets a leader keep leases alive in an outage: each premise of docs/design.md, frame by
// frame.
#include "coordination/controller.hpp"

#include <gtest/gtest.h>

#include <algorithm>

#include "constants.hpp"
#include "simulation/event_queue.hpp"
#include "simulation/fake_http_caller.hpp"
#include "simulation/state_service.hpp"

namespace poppystile::coordination {
namespace {

using protocol::Json;
using protocol::PeerStatus;
using transport::HttpResponse;

struct NoPeers : transport::PeerTransport {
  void broadcast(const std::string&) override {}
  void on_frame(std::function<void(const std::string&)> handler) override {
    deliver = std::move(handler);
  }
  std::function<void(const std::string&)> deliver;
};

constexpr Seconds outage_at{10};
constexpr Seconds worker_lease{10};
constexpr Seconds cancel_timeout{35};
// How long a leader may answer on what it knew when the outage began.
constexpr Seconds budget = cancel_timeout - worker_lease - 3 * constants::lease_margin;

class NodeTest : public testing::Test {
 protected:
  void SetUp() override {
    node.start();
    queue.run_until(outage_at.count());
    ASSERT_TRUE(node.is_leader());
    service.set_down(true);
  }

  static protocol::Settings made_settings() {
    protocol::Settings made;
    made.name = "stile-0";
    made.peers = {{"stile-1", "a", {}}, {"stile-2", "b", {}}};
    made.worker_lease = worker_lease;
    made.cancel_timeout = cancel_timeout;
    made.state_limits.rps = 250;
    made.state_limits.write_rps = 40;
    made.state_limits.txn_ops = 32;
    return made;
  }

  // A sibling's frame as it would be sent now.
  PeerStatus frame(const std::string& name) const {
    PeerStatus status;
    status.name = name;
    status.incarnation = 7;
    status.started_at = caller.wall_now() - Seconds{queue.now()};
    status.token = node.token();
    status.sent_at = caller.wall_now();
    status.state_contact_at = status.fresh_as_of_wall =
        caller.wall_now() - Seconds{queue.now()} + outage_at;
    return status;
  }
  void hear(const PeerStatus& status) { peers.deliver(protocol::encode_peer_status(status)); }

  // Both siblings' frames each second, as `change` leaves them; whether a report is answered at the
  // end.
  bool answers_after(Seconds span, const std::function<void(PeerStatus&)>& change) {
    for (double end = queue.now() + span.count(); queue.now() < end;) {
      for (const char* name : {"stile-1", "stile-2"}) {
        PeerStatus status = frame(name);
        change(status);
        if (!status.name.empty()) hear(status);
      }
      queue.run_until(queue.now() + 1);
    }
    return answers();
  }

  bool answers() {
    const Json report = {{"stile", "n-1"}, {"addr", "10.1.0.1:9000"}, {"build", "g"},
                         {"yard", "a"},    {"loaners", false},        {"shift", 1},
                         {"tick", ++tick}, {"baton", node.token()},   {"pieces", Json::array()}};
    HttpResponse got;
    node.handle({"POST", "/agent/beat", report.dump()},
                [&](HttpResponse answer) { got = std::move(answer); });
    queue.run_until(queue.now() + 1);
    return got.status == 200;
  }

  simulation::EventQueue queue{3};
  simulation::StateService service{queue, 250, 40, 32};
  simulation::FakeHttpCaller caller{queue, service, 0};
  NoPeers peers;
  protocol::Settings settings = made_settings();
  protocol::Properties properties;
  Controller node{caller, caller, peers, settings, properties, 11};
  std::uint64_t tick = 0;
};

TEST_F(NodeTest, OnItsOwnItFallsSilentInTime) {
  EXPECT_TRUE(answers_after(budget - Seconds{3}, [](auto& status) { status.name.clear(); }));
  queue.run_until(queue.now() + 4);
  EXPECT_FALSE(answers());
}

TEST_F(NodeTest, SiblingsThatVouchKeepLeasesAliveThroughAnOutage) {
  EXPECT_TRUE(answers_after(4 * cancel_timeout, [](auto&) {}));
}

TEST_F(NodeTest, OneSiblingThatIsNotHeardIsEnough) {
  EXPECT_FALSE(answers_after(budget + Seconds{1}, [](auto& status) {
    if (status.name == "stile-2") status.name.clear();
  }));
}

TEST_F(NodeTest, AListThatDidNotFitVouchesForNothing) {
  EXPECT_FALSE(answers_after(budget + Seconds{1}, [](auto& status) {
    if (status.name == "stile-2") status.all_cancelled = false;
  }));
}

TEST_F(NodeTest, FramesCountByTheTimeAtWhichTheyWereSent) {
  const WallTime stands_at = caller.wall_now();
  EXPECT_FALSE(answers_after(budget + Seconds{1}, [&](auto& status) {
    status.sent_at = std::min(status.sent_at, stands_at);
  }));
}

// It may have told a user of a cancellation in its former life that no frame has carried.
TEST_F(NodeTest, ALifeThatHasNotReadTheDirectoryDoesNotVouchForTheOneBefore) {
  ASSERT_TRUE(answers_after(Seconds{3}, [](auto&) {}));
  const WallTime born = caller.wall_now();
  EXPECT_FALSE(answers_after(budget + Seconds{1}, [&](auto& status) {
    if (status.name != "stile-2") return;
    status.incarnation = 8;
    status.started_at = born;
    status.fresh_as_of_wall = {};
  }));
}

TEST_F(NodeTest, ALifeThatHasReadTheDirectoryDoes) {
  ASSERT_TRUE(answers_after(Seconds{3}, [](auto&) {}));
  const WallTime born = caller.wall_now();
  EXPECT_TRUE(answers_after(2 * cancel_timeout, [&](auto& status) {
    if (status.name != "stile-2") return;
    status.incarnation = 8;
    status.started_at = born;
    status.fresh_as_of_wall = born + Seconds{0.5};
  }));
}

TEST_F(NodeTest, ASiblingWhoseDirectoryReachesPastItsBirthVouchesForTheLifeBefore) {
  const WallTime born = caller.wall_now();
  EXPECT_TRUE(answers_after(2 * cancel_timeout, [&](auto& status) {
    if (status.name == "stile-2") {
      status.incarnation = 8;
      status.started_at = born - Seconds{5};
      status.fresh_as_of_wall = {};
    } else {
      status.fresh_as_of_wall = born;
    }
  }));
}

TEST_F(NodeTest, AHigherTokenEndsIt) {
  PeerStatus status = frame("stile-1");
  ++status.token;
  hear(status);
  EXPECT_FALSE(node.is_leader());
}

}  // namespace
}  // namespace poppystile::coordination
