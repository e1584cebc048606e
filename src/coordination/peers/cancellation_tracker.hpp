/// \file
/// Up to when this controller knows every cancellation that any user was told of.
#pragma once

#include <map>
#include <string>

#include "coordination/state/shared_state_cache.hpp"
#include "protocol/peer_messages.hpp"
#include "protocol/settings.hpp"
#include "transport/event_loop.hpp"

namespace poppystile::coordination {

/// Exchanges cancellations with the peers, and holds the lease invariant: a worker lease that a
/// leader keeps alive ends within `cancel_timeout` of any cancellation that the leader does not
/// know (docs/design.md).
///
/// A controller tells a user of a cancellation only once its own shared state shows it. Everything
/// told to users before some time is therefore known here when
/// - the local shared state, or a peer's that was advertised to us, includes all that was committed
///   by then, or
/// - each peer has confirmed that its advertisements up to then named all that it told users. This
///   holds through an outage of the state service, in which nothing can be read.
class CancellationTracker {
 public:
  /// All arguments must outlive the tracker.
  CancellationTracker(const transport::Runtime& runtime, const protocol::Settings& settings,
                      SharedStateCache& shared_state)
      : runtime_(runtime), settings_(settings), shared_state_(shared_state) {}

  /// Fills the fields of an own status that concern cancellations. When there are more cancelled
  /// jobs than a status may name, the status is marked as incomplete and confirms nothing.
  void advertise(protocol::PeerStatus& status) const;
  /// Marks the jobs named by a peer as cancelled in the shared state. Valid for a status of any
  /// age, since a cancellation is final.
  void apply(const protocol::PeerStatus& status);
  /// Takes in up to when the peer confirms that we know its cancellations. The status must not be
  /// superseded, and `apply` must have been called with it.
  void confirm(const protocol::PeerStatus& status);

  /// Steady time up to which every cancellation that any user was told of is known here.
  SteadyTime known_until() const;
  /// Steady time until which a leader that has replayed the journal may respond to workers; a
  /// response keeps the worker's lease alive for its full length.
  SteadyTime may_respond_until() const;
  /// The same for a leader elected at `elected_at` that has not replayed the journal yet. It keeps
  /// leases alive but stops nothing, not even tasks cancelled before its election.
  SteadyTime may_respond_until_before_replay(SteadyTime elected_at) const;

 private:
  struct PeerConfirmation {
    std::uint64_t incarnation = 0;  // of the peer's process that confirmed last
    // Whatever cancellation the peer told a user of before, in any incarnation, is known here.
    SteadyTime confirmed_until;
  };

  bool speaks_for_earlier_incarnations(const protocol::PeerStatus& status) const;
  SteadyTime confirmed_by_all_peers() const;
  Seconds response_budget() const;
  SteadyTime to_steady(WallTime time) const;

  const transport::Runtime& runtime_;
  const protocol::Settings& settings_;
  SharedStateCache& shared_state_;
  std::map<std::string, PeerConfirmation> confirmations_;  // by the peer's name
  // Whatever was committed before is included in the shared state of some peer, advertised to us.
  SteadyTime peers_fresh_as_of_;
};

}  // namespace poppystile::coordination
