/// \file
/// Pauses for offers that the cloud refused.
#pragma once

#include <map>
#include <set>

#include "clock.hpp"
#include "planning/autoscaler/offer.hpp"

namespace poppystile::coordination {

/// Remembers refused offers. The pause of each doubles with every further refusal, up to a bound,
/// until a request for it is granted.
class OfferBackoff {
 public:
  void record_refusal(const planning::Offer& offer, SteadyTime now);
  /// The offer was granted: its next pause is a short one again.
  void reset(const planning::Offer& offer) { refusals_.erase(offer); }
  /// Whether the offer's pause has not ended.
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
