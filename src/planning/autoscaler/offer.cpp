#include "planning/autoscaler/offer.hpp"

#include <algorithm>

#include "planning/eligibility.hpp"

namespace poppystile::planning {

const protocol::MachineType* find_machine_type(const std::vector<protocol::MachineType>& types,
                                               const std::string& name) {
  const auto found =
      std::find_if(types.begin(), types.end(), [&](const auto& type) { return type.name == name; });
  return found == types.end() ? nullptr : &*found;
}

bool may_run_on(const protocol::JobSpec& job, const Offer& offer) {
  return may_run_on(job, offer.type, offer.zone, offer.spot);
}

}  // namespace poppystile::planning
