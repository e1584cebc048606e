// What controllers tell one another, as CBOR.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace poppystile::protocol {

struct JobCounts {
  std::string job;
  std::uint64_t done = 0;
  std::uint64_t running = 0;
};

struct PeerStatus {
  std::string name;
  std::uint64_t token = 0;  // highest the sender knows of
  bool leading = false;
  double sent_wall_s = 0;              // when this was said, by the time of day
  double state_wall_s = 0;             // when the state service last answered the sender
  std::uint64_t sent_away = 0;         // workers' reports redirected since the frame before
  std::vector<JobCounts> counts;       // only a leader's
  std::vector<std::string> cancelled;  // jobs whose cancellation it has accepted of late
};

std::string encode_peer_status(const PeerStatus& status);
// Nothing when the frame is not a status of this form.
std::optional<PeerStatus> decode_peer_status(const std::string& frame);

}  // namespace poppystile::protocol
