/// \file
/// Decoding of heartbeats and encoding of commands.
#include "protocol/worker_messages.hpp"

#include <gtest/gtest.h>

#include <string>

#include "protocol/json.hpp"
#include "unit/message_samples.hpp"

namespace poppystile {
namespace {

using protocol::Json;
using samples::heartbeat;

TEST(HeartbeatTest, DecodesTheExampleOfTheProtocol) {
  const auto parsed = protocol::parse_heartbeat(heartbeat);
  EXPECT_EQ(parsed.token, 41u);
  ASSERT_EQ(parsed.tasks.size(), 2u);
  EXPECT_EQ(parsed.tasks[0].job, "req-000412");
  EXPECT_EQ(parsed.tasks[0].index, 3u);
  EXPECT_EQ(parsed.tasks[1].cause, protocol::ExitCause::done);
}

TEST(HeartbeatTest, DecodesTheTaskStatesOfGangs) {
  Json body = Json::parse(heartbeat);
  const Json exited = {{"piece", "req-1/0"}, {"try", 1}, {"stage", "exited"}};
  body["pieces"] = Json::array({{{"piece", "req-1/3"}, {"try", 2}, {"stage", "waiting"}},
                                {{"piece", "req-1/4"}, {"try", 2}, {"stage", "pondering"}},
                                exited,
                                exited});
  body["pieces"][2]["cause"] = "peers";
  body["pieces"][3]["cause"] = "alone";
  const auto tasks = protocol::parse_heartbeat(body.dump()).tasks;
  EXPECT_EQ(tasks[0].state, protocol::TaskState::waiting);
  EXPECT_EQ(tasks[1].state, protocol::TaskState::running);  // an unknown state counts as running
  EXPECT_EQ(tasks[2].cause, protocol::ExitCause::peer_lost);
  EXPECT_EQ(tasks[3].cause, protocol::ExitCause::gang_incomplete);
}

TEST(CommandsTest, EncodeTheExampleOfTheProtocol) {
  const std::string body = protocol::encode_commands(
      41, {{protocol::Command::Op::start, "req-000412", 4, 2, Seconds{0}},
           {protocol::Command::Op::stop, "req-000377", 1, 1, Seconds{10}},
           {protocol::Command::Op::forget, "req-000398", 0, 1, Seconds{0}}});
  EXPECT_EQ(Json::parse(body), Json::parse(R"({"baton":41,"orders":[
    {"verb":"start","piece":"req-000412/4","try":2},
    {"verb":"stop","piece":"req-000377/1","try":1,"wind_down_s":10},
    {"verb":"reap","piece":"req-000398/0","try":1}]})"));
}

}  // namespace
}  // namespace poppystile
