/// \file
/// Selects the offer to rent for a job's tasks.
#pragma once

#include <optional>
#include <set>
#include <vector>

#include "planning/autoscaler/capacity_supply.hpp"
#include "planning/autoscaler/offer.hpp"
#include "protocol/cloud_messages.hpp"
#include "protocol/submission.hpp"

namespace poppystile::planning {

/// Compares the catalog's offers for a job. `types` and `refused` must outlive the selector.
class OfferSelector {
 public:
  OfferSelector(const std::vector<protocol::MachineType>& types, const std::set<Offer>& refused)
      : types_(types), refused_(refused) {}

  /// Returns the offer with the lowest weighted price per task, among those that the job's
  /// constraints allow, whose machines are large enough for a task, and that are not in `refused`.
  /// The weights raise the price of offers that make up much of the fleet or whose boots are
  /// overdue, and, with `prefer_quick_start`, of offers on which a service starts late. Returns
  /// nothing if no offer qualifies.
  std::optional<Offer> cheapest(const protocol::JobSpec& spec, bool prefer_quick_start,
                                const FleetComposition& composition) const;

 private:
  const std::vector<protocol::MachineType>& types_;
  const std::set<Offer>& refused_;
};

}  // namespace poppystile::planning
