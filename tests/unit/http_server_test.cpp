/// \file
/// The server's connection budget, over real sockets on the loopback interface.
#include "transport/http_server.hpp"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>

namespace poppystile::transport {
namespace {

constexpr std::size_t budget = 4;
constexpr int max_turns = 2000;  // of the loop; a response takes a handful

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

  /// Whether the request gets a response; not when the server has closed the connection.
  bool gets_response(EventLoop& loop, const std::string& path) const {
    const std::string request = "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n";
    ::send(socket_, request.data(), request.size(), MSG_NOSIGNAL);
    char response[512];
    for (int turn = 0; turn < max_turns; ++turn) {
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

// Were users' connections kept, workers that connect after them could not send heartbeats, and
// would lose their leases.
TEST(HttpServerTest, ClosesConnectionsWithoutVitalRequestsFirst) {
  EventLoop loop;
  std::unique_ptr<HttpServer> server;
  std::uint16_t port = 20'000;
  while (!server) try {
      server = std::make_unique<HttpServer>(
          loop, Endpoint{"127.0.0.1", ++port}, budget,
          [](const HttpRequest& request) { return request.target == "/vital"; },
          [](const HttpRequest&, const Respond& respond) {
            respond({200, "{}"});
          });
    } catch (const std::runtime_error&) {
      ASSERT_LT(port, 60'000);  // taken by somebody else: the next one
    }
  std::vector<std::unique_ptr<Client>> users;
  for (std::size_t i = 0; i < budget; ++i) {
    users.push_back(std::make_unique<Client>(port));
    EXPECT_TRUE(users.back()->gets_response(loop, "/ordinary"));
  }
  std::vector<std::unique_ptr<Client>> workers;
  for (std::size_t i = 0; i < budget; ++i) {
    workers.push_back(std::make_unique<Client>(port));
    EXPECT_TRUE(workers.back()->gets_response(loop, "/vital"));
  }
  for (const auto& client : workers) EXPECT_TRUE(client->gets_response(loop, "/vital"));
  for (const auto& client : users) EXPECT_FALSE(client->gets_response(loop, "/ordinary"));
  const Client refused_client(port);
  EXPECT_FALSE(refused_client.gets_response(loop, "/ordinary"));
}

}  // namespace
}  // namespace poppystile::transport
