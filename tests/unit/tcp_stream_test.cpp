/// \file
/// Streams, listeners and timers on a libuv loop, over the loopback interface.
#include "transport/tcp_stream.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>

#include "transport/timer.hpp"

namespace poppystile::transport {
namespace {

constexpr std::size_t buffer_bytes = 64;
constexpr Seconds max_wait{5};

class TcpStreamTest : public testing::Test {
 protected:
  TcpStreamTest() {
    while (!listener) try {
        ++endpoint.port;
        listener = std::make_unique<TcpListener>(loop, endpoint, 4, "tests", [this] { accept(); });
      } catch (const std::runtime_error&) {
        if (endpoint.port >= 60'000) throw;  // the port is in use: try the next one
      }
  }

  /// Runs the loop once, so that libuv frees the closed handles.
  void TearDown() override {
    listener.reset();
    server.reset();
    uv_run(loop.raw(), UV_RUN_NOWAIT);
  }

  void accept() {
    server.emplace(loop);
    ASSERT_TRUE(server->accept(*listener));
    server->start_reading(
        buffer_bytes, [this](std::string_view data) { received.append(data); },
        [this] {
          ended = true;
          server.reset();
        });
  }

  /// Runs the loop until the condition holds; false if it does not within `max_wait`.
  bool run_until(const std::function<bool()>& condition) {
    const SteadyTime start = loop.now();
    while (!condition() && loop.now() - start < max_wait) uv_run(loop.raw(), UV_RUN_NOWAIT);
    return condition();
  }

  EventLoop loop;
  Endpoint endpoint{"127.0.0.1", 30'000};
  std::unique_ptr<TcpListener> listener;
  std::optional<TcpStream> server;
  std::string received;
  bool ended = false;
};

TEST_F(TcpStreamTest, DeliversWrittenDataAndTheEnd) {
  TcpStream client(loop);
  bool connected = false;
  ASSERT_TRUE(client.connect(endpoint, [&](bool success) { connected = success; }));
  ASSERT_TRUE(run_until([&] { return connected; }));
  bool written = false;
  const std::string data(3 * buffer_bytes, 'x');
  ASSERT_TRUE(client.write(data, [&](bool success) { written = success; }));
  EXPECT_TRUE(run_until([&] { return written && received == data; }));
  client.close();
  EXPECT_TRUE(run_until([&] { return ended; }));
}

TEST_F(TcpStreamTest, RunsNoCallbackAfterItsDestruction) {
  bool called = false;
  std::optional<TcpStream> client(std::in_place, loop);
  ASSERT_TRUE(client->connect(endpoint, [&](bool) { called = true; }));
  client.reset();
  uv_run(loop.raw(), UV_RUN_NOWAIT);
  uv_run(loop.raw(), UV_RUN_NOWAIT);
  EXPECT_FALSE(called);
}

TEST_F(TcpStreamTest, ReportsARefusedConnection) {
  listener.reset();
  uv_run(loop.raw(), UV_RUN_NOWAIT);
  TcpStream client(loop);
  std::optional<bool> connected;
  ASSERT_TRUE(client.connect(endpoint, [&](bool success) { connected = success; }));
  EXPECT_TRUE(run_until([&] { return connected.has_value(); }));
  EXPECT_EQ(connected, false);
}

TEST_F(TcpStreamTest, ListenerThrowsWhenThePortIsInUse) {
  EXPECT_THROW(TcpListener(loop, endpoint, 4, "tests", [] {}), std::runtime_error);
}

TEST(TimerTest, FiresOnceAfterItsLastRestart) {
  EventLoop loop;
  int fired = 0;
  Timer timer(loop, [&] { ++fired; });
  timer.restart(std::chrono::milliseconds{1});
  timer.restart(std::chrono::milliseconds{2});
  loop.run();
  EXPECT_EQ(fired, 1);
  timer.close();
  loop.run();
}

TEST(TimerTest, NeverFiresAfterClose) {
  EventLoop loop;
  int fired = 0;
  Timer timer(loop, [&] { ++fired; });
  timer.restart(std::chrono::milliseconds{0});
  timer.close();
  loop.run();
  EXPECT_EQ(fired, 0);
}

}  // namespace
}  // namespace poppystile::transport
