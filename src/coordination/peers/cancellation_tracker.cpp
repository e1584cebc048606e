#include "coordination/peers/cancellation_tracker.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "constants.hpp"

namespace poppystile::coordination {

void CancellationTracker::advertise(protocol::PeerStatus& status) const {
  status.fresh_as_of_wall = shared_state_.fresh_as_of_wall();
  for (const auto& id : shared_state_.cancelled()) {
    if (status.cancelled.size() == constants::max_advertised_cancellations) {
      // Peers ignore the confirmations of an incomplete status. A leader that receives no complete
      // status may extend worker leases only while the state service keeps its own shared state
      // fresh.
      spdlog::error("peer status incomplete, too many cancelled jobs limit={}",
                    constants::max_advertised_cancellations);
      status.cancelled_is_complete = false;
      return;
    }
    status.cancelled.push_back(id);
  }
}

void CancellationTracker::apply(const protocol::PeerStatus& status) {
  for (const auto& id : status.cancelled) shared_state_.apply_cancellation(id);
}

void CancellationTracker::confirm(const protocol::PeerStatus& status) {
  if (!status.cancelled_is_complete) return;
  if (status.fresh_as_of_wall != WallTime{})
    peers_fresh_as_of_ = std::max(peers_fresh_as_of_, to_steady(status.fresh_as_of_wall));
  PeerConfirmation& confirmation = confirmations_[status.name];
  if (status.incarnation != confirmation.incarnation && !covers_earlier_incarnations(status))
    return;
  confirmation.incarnation = status.incarnation;
  confirmation.confirmed_until = std::max(confirmation.confirmed_until, to_steady(status.sent_at));
}

// A restarted process has no record of the cancellations that its earlier incarnation confirmed to
// users. All of them were committed before the restart. So its status covers them once it has
// loaded the shared state, or once the shared state here or on another peer is newer than the
// restart.
bool CancellationTracker::covers_earlier_incarnations(const protocol::PeerStatus& status) const {
  return status.fresh_as_of_wall != WallTime{} ||
         std::max(shared_state_.fresh_as_of(), peers_fresh_as_of_) >
             to_steady(status.started_at) + 4 * settings_.max_clock_offset;
}

SteadyTime CancellationTracker::complete_until() const {
  return std::max({shared_state_.fresh_as_of(), peers_fresh_as_of_, confirmed_by_all_peers()});
}

SteadyTime CancellationTracker::confirmed_by_all_peers() const {
  SteadyTime confirmed_by_all = runtime_.now();
  for (const auto& peer : settings_.peers) {
    const auto found = confirmations_.find(peer.name);
    const SteadyTime confirmed_until =
        found == confirmations_.end() ? SteadyTime{} : found->second.confirmed_until;
    confirmed_by_all = std::min(confirmed_by_all, confirmed_until);
  }
  return confirmed_by_all;
}

SteadyTime CancellationTracker::response_deadline() const {
  return complete_until() + response_budget();
}

SteadyTime CancellationTracker::response_deadline_before_replay(
    SteadyTime won_campaign_started_at) const {
  return won_campaign_started_at + response_budget() * constants::response_share_before_replay;
}

// Returns how long after a cancellation that has not reached this leader it may still respond, so
// that the worker lease which the response extends expires within `cancel_timeout`.
Seconds CancellationTracker::response_budget() const {
  return settings_.cancel_timeout - settings_.worker_lease * (1 + constants::clock_drift) -
         3 * constants::lease_margin;
}

// Converts a wall time read from a peer's clock to this controller's steady time. Allows for the
// offset of the clocks, so the result is never later than the true time.
SteadyTime CancellationTracker::to_steady(WallTime time) const {
  const Seconds age = runtime_.wall_now() - time;
  return runtime_.now() - std::max(Seconds{0}, age) - 2 * settings_.max_clock_offset;
}

}  // namespace poppystile::coordination
