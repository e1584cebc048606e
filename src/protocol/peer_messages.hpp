// What controllers tell one another, as CBOR.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "clock.hpp"

namespace poppystile::protocol {

struct JobCounts {
  std::string job;
  std::uint64_t done = 0;
  std::uint64_t running = 0;
};

struct PeerStatus {
  std::string name;
  std::uint64_t incarnation = 0;  // drawn when the sender's process began
  WallTime started_at;            // when that was, by the time of day
  std::uint64_t token = 0;        // highest the sender knows of
  bool is_leader = false;
  WallTime sent_at;           // when this was said, by the time of day
  WallTime state_contact_at;  // when the state service last answered the sender
  // Whatever was committed before is in the sender's directory; 0 while that is not loaded.
  WallTime fresh_as_of_wall;
  std::uint64_t redirected_heartbeats = 0;  // workers' reports redirected since the frame before
  std::vector<JobCounts> counts;            // only a leader's
  // Jobs that the sender knows to be cancelled and that are not over: all of them, or as many as
  // fit, and then the frame vouches for nothing.
  std::vector<std::string> cancelled;
  bool all_cancelled = true;
};

std::string encode_peer_status(const PeerStatus& status);
// Nothing when the frame is not a status of this form.
std::optional<PeerStatus> decode_peer_status(const std::string& frame);

}  // namespace poppystile::protocol
