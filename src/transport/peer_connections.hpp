// Length-prefixed frames between controllers: each node connects to every sibling and sends
// its own frames there; it only reads on the connections that siblings opened to it.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "transport/event_loop.hpp"
#include "transport/http.hpp"

namespace poppystile::transport {

class PeerTransport {
 public:
  virtual ~PeerTransport() = default;
  virtual void broadcast(const std::string& frame) = 0;
  virtual void on_frame(std::function<void(const std::string&)> handler) = 0;
};

class PeerConnections final : public PeerTransport {
 public:
  PeerConnections(EventLoop& loop, const Endpoint& listen, const std::vector<Endpoint>& peers);
  ~PeerConnections() override;
  void broadcast(const std::string& frame) override;
  void on_frame(std::function<void(const std::string&)> handler) override;

 private:
  class Outgoing;
  class Incoming;

  EventLoop& loop_;
  uv_tcp_t listener_{};
  std::vector<std::unique_ptr<Outgoing>> outgoing_;
  std::function<void(const std::string&)> handler_;
  int incoming_ = 0;
};

}  // namespace poppystile::transport
