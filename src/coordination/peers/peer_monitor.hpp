/// \file
/// The latest status received from each peer controller.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "protocol/peer_messages.hpp"
#include "protocol/settings.hpp"
#include "transport/event_loop.hpp"

namespace poppystile::coordination {

/// Keeps the newest status of each configured peer and evaluates them.
///
/// A network partition can delay frames and deliver them out of order. The age of a status is
/// therefore measured from the time at which it was sent, by the wall clock of its sender.
class PeerMonitor {
 public:
  /// Both references must outlive the monitor.
  PeerMonitor(const transport::Runtime& runtime, const protocol::Settings& settings)
      : runtime_(runtime), settings_(settings) {}

  /// Decodes a frame. Logs the reason and returns `nullopt` if the frame is malformed or its sender
  /// is not a configured peer.
  std::optional<protocol::PeerStatus> decode(const std::string& frame) const;
  /// Whether a newer status of the same peer has been recorded already.
  bool is_superseded(const protocol::PeerStatus& status) const;
  /// Whether the status was sent less than `max_peer_status_age` ago.
  bool is_recent(const protocol::PeerStatus& status) const;
  /// Replaces the peer's status and, if the peer is the leader, all advertised task counts. The
  /// status must not be superseded. Returns the stored status, which is valid until the next call.
  const protocol::PeerStatus& record(protocol::PeerStatus status);

  /// Whether the latest status of any peer is recent.
  bool has_recent_peer_status() const;
  /// Whether the state service has answered any peer in the last `state_contact_stale_after`.
  bool any_peer_reaches_state_service() const;
  /// The job's task counts from the last status of a leader; `nullopt` if it did not list the job.
  std::optional<protocol::JobCounts> advertised_counts(const std::string& job) const;

 private:
  const transport::Runtime& runtime_;
  const protocol::Settings& settings_;
  std::map<std::string, protocol::PeerStatus> latest_;            // Keyed by the peer's name.
  std::map<std::string, protocol::JobCounts> advertised_counts_;  // Keyed by the job's id.
};

}  // namespace poppystile::coordination
