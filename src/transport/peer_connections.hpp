/// \file
/// Length-prefixed frames between controllers.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "transport/event_loop.hpp"
#include "transport/http.hpp"
#include "transport/tcp_stream.hpp"

namespace poppystile::transport {

/// Exchanges frames with all peers. Frames may be lost.
class PeerTransport {
 public:
  virtual ~PeerTransport() = default;
  /// Sends the frame to all peers.
  virtual void broadcast(const std::string& frame) = 0;
  /// Sets the handler for received frames. Frames that arrive before the first call are dropped.
  virtual void set_frame_handler(std::function<void(const std::string&)> handler) = 0;
};

/// Peer transport over TCP. Each controller opens a connection to every peer and only sends on it;
/// it only reads from the connections that peers have opened to it.
class PeerConnections final : public PeerTransport {
 public:
  /// Starts to listen; throws std::runtime_error if that fails.
  PeerConnections(EventLoop& loop, const Endpoint& listen, const std::vector<Endpoint>& peers);
  ~PeerConnections() override;
  PeerConnections(const PeerConnections&) = delete;
  PeerConnections& operator=(const PeerConnections&) = delete;

  /// For a peer without an established connection, drops the frame and starts to connect.
  void broadcast(const std::string& frame) override;
  void set_frame_handler(std::function<void(const std::string&)> handler) override;

 private:
  class Outgoing;
  class Incoming;

  void accept();

  EventLoop& loop_;
  std::vector<std::unique_ptr<Outgoing>> outgoing_;
  std::function<void(const std::string&)> handler_;
  int incoming_connections_ = 0;
  TcpListener listener_;
};

}  // namespace poppystile::transport
