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

/// Sends frames to all peers and receives theirs. Frames may be lost.
class PeerTransport {
 public:
  virtual ~PeerTransport() = default;
  virtual void broadcast(const std::string& frame) = 0;
  /// Sets what runs for each frame received; frames received before are dropped.
  virtual void set_frame_handler(std::function<void(const std::string&)> handler) = 0;
};

/// Peers over TCP: each controller connects to every other and sends its own frames there; on the
/// connections that others have opened to it, it only reads.
class PeerConnections final : public PeerTransport {
 public:
  /// Listens at once; throws std::runtime_error when it cannot.
  PeerConnections(EventLoop& loop, const Endpoint& listen, const std::vector<Endpoint>& peers);
  ~PeerConnections() override;
  PeerConnections(const PeerConnections&) = delete;
  PeerConnections& operator=(const PeerConnections&) = delete;

  /// Drops the frame for peers to which there is no connection, and connects to them.
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
