/// \file
/// Decides which machines to rent, drain, uncordon and release. Pure functions of the cluster state
/// and the context.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cluster/cluster_state.hpp"
#include "planning/autoscaler/offer.hpp"
#include "planning/autoscaler/scaling_context.hpp"

namespace poppystile::planning {

/// The decisions of one scaling pass. Machines are given by id.
struct ScalingPlan {
  std::vector<RentalOrder> rent;      ///< By descending count; each within the rental limit
  std::vector<std::string> release;   ///< Drained machines
  std::vector<std::string> drain;     ///< Machines that shall accept no new tasks
  std::vector<std::string> uncordon;  ///< Draining machines that shall accept tasks again
  std::int64_t demand_cpus = 0;       ///< Thousandths of CPUs: in use, demanded, and reserves
};

/// Compares demand with supply. A plan that uncordons machines contains no other decision, and only
/// a plan that rents nothing drains machines.
ScalingPlan plan_scaling(const cluster::ClusterState& cluster_state, const ScalingContext& context);

}  // namespace poppystile::planning
