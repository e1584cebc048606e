#include "coordination/fleet/offer_backoff.hpp"

#include <algorithm>

#include "constants.hpp"

namespace poppystile::coordination {

using planning::Offer;

void OfferBackoff::record_refusal(const Offer& offer, SteadyTime now) {
  Refusal& refusal = refusals_[offer];
  refusal.pause = std::clamp(2 * refusal.pause, constants::initial_no_capacity_pause,
                             constants::max_no_capacity_pause);
  refusal.paused_until = now + refusal.pause;
}

bool OfferBackoff::is_paused(const Offer& offer, SteadyTime now) const {
  const auto found = refusals_.find(offer);
  return found != refusals_.end() && found->second.paused_until > now;
}

std::set<Offer> OfferBackoff::paused_offers(SteadyTime now) const {
  std::set<Offer> offers;
  for (const auto& [offer, refusal] : refusals_)
    if (refusal.paused_until > now) offers.insert(offer);
  return offers;
}

}  // namespace poppystile::coordination
