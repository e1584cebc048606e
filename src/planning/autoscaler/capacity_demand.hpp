/// \file
/// The room that jobs need now, and that should be kept ready for the next ones.
#pragma once

#include <cstdint>
#include <vector>

#include "cluster/cluster_state.hpp"
#include "planning/autoscaler/scaling_context.hpp"

namespace poppystile::planning {

/// Whose room is asked for.
enum class DemandPurpose : std::uint8_t { waiting_tasks, reserve };

/// Room for a number of like tasks.
struct TaskDemand {
  protocol::JobSpec spec;       ///< the tasks' size and constraints
  std::uint32_t wanted = 0;     ///< tasks, whatever the team may use
  std::uint32_t permitted = 0;  ///< of these, as many as the team's limit still allows
  DemandPurpose purpose = DemandPurpose::waiting_tasks;
  bool prefer_quick_start = true;  ///< weigh a machine's boot and fetch times for services
};

/// All demand of one plan.
struct CapacityDemand {
  std::vector<TaskDemand> tasks;  ///< in the order in which they are packed
  std::int64_t cpus = 0;          ///< thousandths: in use, wanted now, and the reserves
};

/// Tasks of the job that need room of their own soon. Arrays with time to spare share room: as many
/// tasks are wanted at once as finish the work within the time that is left.
std::uint32_t tasks_wanted_at_once(const cluster::Job& job, WallTime now);

/// Waiting tasks (services first, then by priority and id), then the reserve for each class of
/// services, then that for each class of recent gangs. The same state always gives the same order.
CapacityDemand measure_demand(const cluster::ClusterState& cluster_state,
                              const ScalingContext& context);

}  // namespace poppystile::planning
