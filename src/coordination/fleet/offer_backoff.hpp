/// \file
/// Backoff for offers that the cloud refused.
#pragma once

#include <map>
#include <set>

#include "clock.hpp"
#include "planning/autoscaler/offer.hpp"

namespace poppystile::coordination {

/// Pauses refused offers. An offer's pause starts at `constants::initial_no_capacity_pause` and
/// doubles with each further refusal, up to `constants::max_no_capacity_pause`, until a request for
/// the offer is granted.
class OfferBackoff {
 public:
  void record_refusal(const planning::Offer& offer, SteadyTime now);
  /// Ends the offer's pause after a grant, and resets the duration of its next pause.
  void reset(const planning::Offer& offer) { refusals_.erase(offer); }
  /// Whether the offer is paused at `now`.
  bool is_paused(const planning::Offer& offer, SteadyTime now) const;
  std::set<planning::Offer> paused_offers(SteadyTime now) const;

 private:
  struct Refusal {
    SteadyTime paused_until;
    Seconds pause{0};
  };
  std::map<planning::Offer, Refusal> refusals_;
};

}  // namespace poppystile::coordination
