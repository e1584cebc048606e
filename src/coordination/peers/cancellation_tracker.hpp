/// \file
/// Tracks up to which time this controller has every cancellation that was confirmed to a user.
#pragma once

#include <map>
#include <string>

#include "coordination/state/shared_state_cache.hpp"
#include "protocol/peer_messages.hpp"
#include "protocol/settings.hpp"
#include "transport/event_loop.hpp"

namespace poppystile::coordination {

/// Exchanges cancellations with the peers, and maintains the lease invariant: a worker lease that a
/// leader keeps alive ends within `cancel_timeout` of any cancellation that has not reached the
/// leader (docs/design.md).
///
/// A controller confirms a cancellation to a user only once its own shared state includes it.
/// Therefore this controller has every cancellation confirmed before a time T if
/// - its own shared state, or that of a peer from which it has received a complete list of
///   cancelled jobs, includes everything committed before T, or
/// - each peer has advertised, at T or later, all cancellations that it confirmed to users. This
///   also works in an outage of the state service, when nothing can be read.
class CancellationTracker {
 public:
  /// All references must outlive the tracker.
  CancellationTracker(const transport::Runtime& runtime, const protocol::Settings& settings,
                      SharedStateCache& shared_state)
      : runtime_(runtime), settings_(settings), shared_state_(shared_state) {}

  /// Fills the cancellation fields of this controller's outgoing status. If more jobs are cancelled
  /// than a status may list (`max_advertised_cancellations`), the status is marked as incomplete
  /// and confirms nothing.
  void advertise(protocol::PeerStatus& status) const;
  /// Marks the jobs listed by a peer as cancelled in the shared state. Valid for a status of any
  /// age, since a cancellation is final.
  void apply(const protocol::PeerStatus& status);
  /// Records the time up to which this status confirms that the peer's cancellations have arrived
  /// here. The status must not be superseded, and `apply` must have been called with it before.
  void confirm(const protocol::PeerStatus& status);

  /// Steady time up to which this controller has every cancellation that was confirmed to a user.
  SteadyTime complete_until() const;
  /// Steady time until which a leader that has replayed the journal may respond to workers. Each
  /// response extends the worker's lease by its full duration.
  SteadyTime response_deadline() const;
  /// The same limit for a leader that has not replayed the journal yet and whose campaign began at
  /// `won_campaign_started_at`. Its responses extend leases but stop no tasks, not even those
  /// cancelled before its election.
  SteadyTime response_deadline_before_replay(SteadyTime won_campaign_started_at) const;

 private:
  struct PeerConfirmation {
    std::uint64_t incarnation = 0;  // Incarnation of the peer that sent the last confirmation.
    // This controller has every cancellation that any incarnation of the peer confirmed to a user
    // before this time.
    SteadyTime confirmed_until;
  };

  bool covers_earlier_incarnations(const protocol::PeerStatus& status) const;
  SteadyTime confirmed_by_all_peers() const;
  Seconds response_budget() const;
  SteadyTime to_steady(WallTime time) const;

  const transport::Runtime& runtime_;
  const protocol::Settings& settings_;
  SharedStateCache& shared_state_;
  std::map<std::string, PeerConfirmation> confirmations_;  // Keyed by the peer's name.
  // The newest shared state of any peer that has sent a complete list of cancelled jobs includes
  // everything committed before this time.
  SteadyTime peers_fresh_as_of_;
};

}  // namespace poppystile::coordination
