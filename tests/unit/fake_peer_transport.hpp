/// \file
/// Peer transport for tests of a single controller or component.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "transport/peer_connections.hpp"

namespace poppystile::coordination {

/// Keeps the frames that were broadcast. Passes frames to the handler on demand.
struct FakePeerTransport : transport::PeerTransport {
  void broadcast(const std::string& frame) override { frames.push_back(frame); }
  void set_frame_handler(std::function<void(const std::string&)> handler) override {
    deliver_frame = std::move(handler);
  }
  std::vector<std::string> frames;
  std::function<void(const std::string&)> deliver_frame;
};

}  // namespace poppystile::coordination
