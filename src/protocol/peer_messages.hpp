/// \file
/// The status that controllers send one another, as CBOR.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "clock.hpp"

namespace poppystile::protocol {

/// How many tasks of a job have finished and how many run.
struct JobCounts {
  std::string job;
  std::uint64_t done = 0;
  std::uint64_t running = 0;
};

/// What a controller knows, as of `sent_at`.
struct PeerStatus {
  std::string name;
  std::uint64_t incarnation = 0;  ///< Drawn when the sender's process began.
  WallTime started_at;            ///< When that was.
  std::uint64_t token = 0;        ///< The highest fencing token that the sender knows of.
  bool is_leader = false;
  WallTime sent_at;
  WallTime state_contact_at;  ///< When the state service last answered the sender.
  /// The sender's cache holds whatever was committed before; "never" while it is not loaded.
  WallTime fresh_as_of_wall;
  /// Workers' heartbeats that were redirected since the frame before.
  std::uint64_t redirected_heartbeats = 0;
  std::vector<JobCounts> counts;  ///< Of a leader only.
  /// Jobs that the sender knows to be cancelled and not to be final, or as many as fit.
  std::vector<std::string> cancelled;
  /// Whether `cancelled` is complete. If not, the frame confirms nothing about cancellations.
  bool cancelled_is_complete = true;
};

std::string encode_peer_status(const PeerStatus& status);

/// Nothing when the frame is not a status of this form.
std::optional<PeerStatus> decode_peer_status(const std::string& frame);

}  // namespace poppystile::protocol
