/// \file
/// How many machines of which kind the fleet needs: what to rent and what to release. Pure
/// functions of the cluster state.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cluster/cluster_state.hpp"
#include "planning/autoscaler/offer.hpp"
#include "planning/autoscaler/scaling_context.hpp"

namespace poppystile::planning {

/// What one scaling pass decided. Machines are named by their ids.
struct ScalingPlan {
  std::vector<RentalOrder> rent;      ///< the largest order first
  std::vector<std::string> release;   ///< have drained
  std::vector<std::string> drain;     ///< shall take no new tasks
  std::vector<std::string> uncordon;  ///< draining, and wanted after all
  std::int64_t demand_cpus = 0;       ///< thousandths: in use, wanted now, and the reserves
};

/// Compares demand with supply. A plan that takes draining machines back does nothing else, and
/// only a plan that rents nothing drains machines.
ScalingPlan plan_scaling(const cluster::ClusterState& cluster_state, const ScalingContext& context);

}  // namespace poppystile::planning
