/// \file
/// What a scaling plan depends on besides the cluster state.
#pragma once

#include <cstdint>
#include <set>
#include <vector>

#include "clock.hpp"
#include "planning/autoscaler/offer.hpp"
#include "protocol/cloud_messages.hpp"
#include "protocol/settings.hpp"

namespace poppystile::planning {

/// Input of `plan_scaling`. The pointers must not be null.
struct ScalingContext {
  WallTime wall_now;
  const std::vector<protocol::MachineType>* types = nullptr;
  const std::vector<protocol::TeamSettings>* teams = nullptr;
  std::set<Offer> refused;           ///< offers that the cloud refused lately; not to be requested
  std::vector<RentalOrder> pending;  ///< rentals recorded or requested, and not answered yet
  std::int64_t peak_cpus = 0;        ///< thousandths; the highest recent demand
  double service_reserve = 0.1;      ///< share of the running services' tasks to keep room for
};

}  // namespace poppystile::planning
