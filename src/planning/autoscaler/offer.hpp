/// \file
/// Offers: the kinds of machines that the cloud rents out.
#pragma once

#include <compare>
#include <string>
#include <vector>

#include "protocol/cloud_messages.hpp"
#include "protocol/submission.hpp"

namespace poppystile::planning {

/// A kind of machine that can be rented: spot or on-demand machines of a type in a zone.
struct Offer {
  std::string type;
  std::string zone;
  bool spot = false;
  auto operator<=>(const Offer&) const = default;
};

/// A number of machines to rent of one offer.
struct RentalOrder {
  Offer offer;
  int count = 0;
};

/// The type called `name`, or null if `types` does not contain it.
const protocol::MachineType* find_machine_type(const std::vector<protocol::MachineType>& types,
                                               const std::string& name);

/// Whether the job's constraints on type, zone and spot machines allow the offer.
bool may_run_on(const protocol::JobSpec& job, const Offer& offer);

}  // namespace poppystile::planning
