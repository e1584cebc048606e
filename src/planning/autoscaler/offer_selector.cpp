#include "planning/autoscaler/offer_selector.hpp"

#include <cmath>

#include "constants.hpp"

namespace poppystile::planning {

using protocol::JobKind;
using protocol::JobSpec;
using protocol::MachineType;

namespace {

// Price factor for the delay until a task starts: it doubles with each
// `service_price_doubling_delay`. The waiting time of a service is measured from its submission, so
// a type that boots and fetches slowly is worth less. The factor is 1 for other jobs; arrays are
// measured by their deadline.
double start_delay_factor(const JobSpec& spec, const MachineType& type) {
  if (spec.kind != JobKind::service) return 1;
  const Seconds delay = type.boot_time + Seconds{spec.image_gb / type.fetch_gb_per_s};
  return std::exp2(delay / constants::service_price_doubling_delay);
}

/// The on-demand and spot offers of the type in each of its zones.
std::vector<Offer> offers_of(const protocol::MachineType& type) {
  std::vector<Offer> offers;
  offers.reserve(2 * type.zones.size());
  for (const auto& zone : type.zones)
    for (const bool spot : {false, true}) offers.push_back({type.name, zone, spot});
  return offers;
}

/// The price with surcharges for the offer's share of the available machines and for the share of
/// the offer's machines whose boot is overdue.
double weighted_price(double price, const Offer& offer, const FleetComposition& composition) {
  // Spreads the fleet, so that no type or zone provides all capacity.
  const double spread_factor =
      1 + constants::max_concentration_surcharge * composition.available_share(offer);
  return price * spread_factor * (1 + composition.overdue_share(offer));
}

}  // namespace

std::optional<Offer> OfferSelector::cheapest(const JobSpec& spec, bool prefer_quick_start,
                                             const FleetComposition& composition) const {
  std::optional<Offer> best;
  double lowest_score = 0;
  for (const auto& type : types_) {
    const auto tasks_per_machine = spec.task_resources.times_in(type.size);
    if (tasks_per_machine <= 0) continue;
    const double delay_factor = prefer_quick_start ? start_delay_factor(spec, type) : 1;
    for (const Offer& offer : offers_of(type)) {
      if (!may_run_on(spec, offer) || refused_.contains(offer)) continue;
      const double price =
          (offer.spot ? type.spot_price : type.price) / static_cast<double>(tasks_per_machine);
      const double score = weighted_price(price, offer, composition) * delay_factor;
      if (best && score >= lowest_score) continue;
      best = offer;
      lowest_score = score;
    }
  }
  return best;
}

}  // namespace poppystile::planning
