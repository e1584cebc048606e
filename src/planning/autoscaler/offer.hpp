/// \file
/// The kinds of machines that the cloud rents out, as the autoscaler compares them.
#pragma once

#include <compare>
#include <string>
#include <vector>

#include "protocol/cloud_messages.hpp"
#include "protocol/submission.hpp"

namespace poppystile::planning {

/// One kind of machine that can be rented.
struct Offer {
  std::string type;
  std::string zone;
  bool spot = false;
  auto operator<=>(const Offer&) const = default;
};

/// A number of machines of one kind.
struct RentalOrder {
  Offer offer;
  int count = 0;
};

/// The type called `name`; null if `types` has none of that name.
const protocol::MachineType* find_machine_type(const std::vector<protocol::MachineType>& types,
                                               const std::string& name);

/// Whether the job's constraints on type, zone and spot machines allow machines of this kind.
bool may_run_on(const protocol::JobSpec& job, const Offer& offer);

}  // namespace poppystile::planning
