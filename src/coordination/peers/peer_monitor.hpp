/// \file
/// The latest status that each peer controller has broadcast.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "protocol/peer_messages.hpp"
#include "protocol/settings.hpp"
#include "transport/event_loop.hpp"

namespace poppystile::coordination {

/// Keeps the newest status of each configured peer and answers questions about all of them.
///
/// A network partition can hold frames back and deliver them late and out of order; ages are
/// therefore measured from the time at which a status was sent, by the wall clock of its sender.
class PeerMonitor {
 public:
  /// Both arguments must outlive the monitor.
  PeerMonitor(const transport::Runtime& runtime, const protocol::Settings& settings)
      : runtime_(runtime), settings_(settings) {}

  /// Decodes a frame. Returns nothing, and logs why, when it is malformed or when its sender is not
  /// a configured peer.
  std::optional<protocol::PeerStatus> decode(const std::string& frame) const;
  /// Whether a newer status of the same peer has been recorded already.
  bool is_superseded(const protocol::PeerStatus& status) const;
  /// Whether the status was sent within `max_peer_status_age`, so that it describes the present.
  bool is_recent(const protocol::PeerStatus& status) const;
  /// Replaces the peer's status, and the task counts if the peer is the leader. The status must not
  /// be superseded. Returns the recorded status, valid until the next call.
  const protocol::PeerStatus& record(protocol::PeerStatus status);

  /// Whether any peer has sent a recent status.
  bool hears_any_peer() const;
  /// Whether the state service answered any peer within `state_contact_stale_after`.
  bool any_peer_reaches_state_service() const;
  /// Counts of the job's tasks as a leader advertised them last; nothing for a job it did not name.
  std::optional<protocol::JobCounts> advertised_counts(const std::string& job) const;

 private:
  const transport::Runtime& runtime_;
  const protocol::Settings& settings_;
  std::map<std::string, protocol::PeerStatus> latest_;            // by the peer's name
  std::map<std::string, protocol::JobCounts> advertised_counts_;  // by job
};

}  // namespace poppystile::coordination
