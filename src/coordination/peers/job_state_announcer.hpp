/// \file
/// Informs the peers of a job's state before it is reported to a user, so that none of them
/// responds with an older state afterwards.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "coordination/state/shared_state_cache.hpp"
#include "protocol/job_state_message.hpp"
#include "protocol/settings.hpp"
#include "transport/event_loop.hpp"
#include "transport/peer_connections.hpp"

namespace poppystile::coordination {

/// Announces states to the peers, and applies and acknowledges their announcements.
///
/// A controller may respond from a read of the state service that was sent up to
/// `constants::max_read_age` ago, and so may not know a later change. A peer that has acknowledged
/// a change does not respond with an older state any more, and neither does any peer once the
/// change has been known here for `constants::announcement_timeout`.
class JobStateAnnouncer {
 public:
  using Action = std::function<void()>;

  /// All references must outlive the announcer. `incarnation` identifies this process.
  JobStateAnnouncer(transport::Runtime& runtime, transport::PeerTransport& peers,
                    const protocol::Settings& settings, SharedStateCache& shared_state,
                    std::uint64_t incarnation)
      : runtime_(runtime),
        peers_(peers),
        settings_(settings),
        shared_state_(shared_state),
        incarnation_(incarnation) {}

  /// Announces that a job is cancelled or done, as the shared state shows it, or else that it was
  /// accepted, unless the shared state has shown that for `constants::announcement_timeout`. Runs
  /// `respond`, which reports the state to a user, once all peers have acknowledged it, or at the
  /// end of that time. For an acceptance, waits for `constants::max_acceptance_hold` at most.
  void announce(const std::string& job, Action respond);

  /// Handles a frame from a peer. Returns false if the frame is not a message of an announcer.
  bool handle_frame(const std::string& frame);

 private:
  using Key = std::pair<std::string, protocol::AnnouncedState>;  // Job id and state.
  struct Announcement {
    std::set<std::string> unacknowledged_peers;
    std::vector<Action> waiting_responses;
  };

  protocol::AnnouncedState state_of(const std::string& job) const;
  void begin(const Key& key, SteadyTime end_at);
  void end(const Key& key);
  void end_hold(const Key& key);
  void apply(const protocol::JobStateMessage& announcement);
  void on_acknowledgement(const protocol::JobStateMessage& acknowledgement);
  void send_waiting_responses(const Key& key, Announcement& announcement);
  bool is_peer(const std::string& name) const;

  transport::Runtime& runtime_;
  transport::PeerTransport& peers_;
  const protocol::Settings& settings_;
  SharedStateCache& shared_state_;
  std::uint64_t incarnation_;
  std::map<Key, Announcement> announcements_;  // Until their end, acknowledged or not.
};

}  // namespace poppystile::coordination
