/// \file
/// Inputs of a scaling plan besides the cluster state.
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
  std::set<Offer> refused;           ///< Offers not to be requested after a recent refusal
  std::vector<RentalOrder> pending;  ///< Orders of pending rentals
  std::int64_t peak_cpus = 0;        ///< Highest recent demand in thousandths of CPUs
  double service_reserve = 0.1;      ///< Reserve for services, as a share of their tasks
};

}  // namespace poppystile::planning
