/// \file
/// The status that controllers send one another, encoded as CBOR.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "clock.hpp"

namespace poppystile::protocol {

/// The numbers of finished and running tasks of one job.
struct JobCounts {
  std::string job;
  std::uint64_t done = 0;
  std::uint64_t running = 0;
};

/// The state of a controller at the time `sent_at`.
struct PeerStatus {
  std::string name;
  std::uint64_t incarnation = 0;  ///< Random number chosen when the sender's process started.
  WallTime started_at;            ///< Start time of the sender's process.
  std::uint64_t token = 0;        ///< The highest fencing token that the sender has seen.
  bool is_leader = false;
  WallTime sent_at;
  WallTime state_contact_at;  ///< Time of the state service's last response to the sender.
  /// The sender's cache contains every change that was committed before this time; "never" while
  /// the cache is not loaded.
  WallTime fresh_as_of_wall;
  /// Number of heartbeats that the sender has answered with a redirect since its previous status.
  std::uint64_t redirected_heartbeats = 0;
  std::vector<JobCounts> counts;  ///< Empty unless the sender is the leader.
  /// Ids of jobs that are cancelled and have no final record yet, as far as the sender has seen; at
  /// most as many as fit into a frame.
  std::vector<std::string> cancelled;
  /// Whether `cancelled` is complete. If it is not, a job that is absent from it may be cancelled
  /// all the same, so the status confirms nothing about cancellations.
  bool cancelled_is_complete = true;
};

std::string encode_peer_status(const PeerStatus& status);

/// Returns nullopt if the frame is malformed or has another format version.
std::optional<PeerStatus> decode_peer_status(const std::string& frame);

}  // namespace poppystile::protocol
