/// \file
/// Which kind of machine to rent for a job.
#pragma once

#include <optional>
#include <set>
#include <vector>

#include "planning/autoscaler/capacity_supply.hpp"
#include "planning/autoscaler/offer.hpp"
#include "protocol/cloud_messages.hpp"
#include "protocol/submission.hpp"

namespace poppystile::planning {

/// Compares the catalog's offers for a job. Keeps references to its arguments.
class OfferSelector {
 public:
  OfferSelector(const std::vector<protocol::MachineType>& types, const std::set<Offer>& refused)
      : types_(types), refused_(refused) {}

  /// The offer with the lowest price for each of the job's tasks, among those that the job allows,
  /// that hold at least one task and were not refused lately. Kinds that the fleet has much of, and
  /// kinds whose boots are overdue, count as dearer; with `prefer_quick_start`, so do kinds on
  /// which a service starts late. Nothing if there is no such offer.
  std::optional<Offer> cheapest(const protocol::JobSpec& spec, bool prefer_quick_start,
                                const FleetComposition& composition) const;

 private:
  const std::vector<protocol::MachineType>& types_;
  const std::set<Offer>& refused_;
};

}  // namespace poppystile::planning
