/// \file
/// The server's connection limit, over real sockets on the loopback interface.
#include "transport/http_server.hpp"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>

namespace poppystile::transport {
namespace {

constexpr std::size_t max_connections = 4;
// Iterations of the loop to wait for a response, which takes about five.
constexpr int max_iterations = 2000;

class Client {
 public:
  explicit Client(std::uint16_t port) : socket_(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    EXPECT_EQ(::connect(socket_, reinterpret_cast<sockaddr*>(&address), sizeof(address)), 0);
  }
  ~Client() { ::close(socket_); }
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  /// Sends a request and runs the loop. Returns whether a response arrives; false if the server has
  /// closed the connection.
  bool gets_response(EventLoop& loop, const std::string& path) const {
    const std::string request = "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n";
    ::send(socket_, request.data(), request.size(), MSG_NOSIGNAL);
    char response[512];
    for (int iteration = 0; iteration < max_iterations; ++iteration) {
      uv_run(loop.raw(), UV_RUN_NOWAIT);
      const auto count = ::recv(socket_, response, sizeof(response), MSG_DONTWAIT);
      if (count >= 0) return count > 0;
      if (errno != EAGAIN && errno != EWOULDBLOCK) return false;
      ::usleep(100);
    }
    return false;
  }

 private:
  int socket_;
};

// If the server kept users' connections, workers that connect after them could not send heartbeats
// and would lose their leases.
TEST(HttpServerTest, ClosesConnectionsWithoutPriorityRequestsFirst) {
  EventLoop loop;
  std::unique_ptr<HttpServer> server;
  std::uint16_t port = 20'000;
  while (!server) try {
      server = std::make_unique<HttpServer>(
          loop, Endpoint{"127.0.0.1", ++port}, max_connections,
          [](const HttpRequest& request) { return request.target == "/priority"; },
          [](const HttpRequest&, const Respond& respond) {
            respond({200, "{}"});
          });
    } catch (const std::runtime_error&) {
      ASSERT_LT(port, 60'000);  // the port is in use: try the next one
    }
  std::vector<std::unique_ptr<Client>> users;
  for (std::size_t i = 0; i < max_connections; ++i) {
    users.push_back(std::make_unique<Client>(port));
    EXPECT_TRUE(users.back()->gets_response(loop, "/other"));
  }
  std::vector<std::unique_ptr<Client>> workers;
  for (std::size_t i = 0; i < max_connections; ++i) {
    workers.push_back(std::make_unique<Client>(port));
    EXPECT_TRUE(workers.back()->gets_response(loop, "/priority"));
  }
  for (const auto& each : workers) EXPECT_TRUE(each->gets_response(loop, "/priority"));
  for (const auto& each : users) EXPECT_FALSE(each->gets_response(loop, "/other"));
  const Client another_user(port);
  EXPECT_FALSE(another_user.gets_response(loop, "/other"));
}

}  // namespace
}  // namespace poppystile::transport
