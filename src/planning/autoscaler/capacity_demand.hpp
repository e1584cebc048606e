/// \file
/// The capacity that jobs need now, and the reserves for future jobs.
#pragma once

#include <cstdint>
#include <vector>

#include "cluster/cluster_state.hpp"
#include "planning/autoscaler/scaling_context.hpp"

namespace poppystile::planning {

/// Whether capacity is demanded for waiting tasks or as a reserve for future jobs.
enum class DemandPurpose : std::uint8_t { waiting_tasks, reserve };

/// Demand for the capacity of a number of identical tasks.
struct TaskDemand {
  protocol::JobSpec spec;       ///< Size and constraints of the tasks
  std::uint32_t wanted = 0;     ///< Number of tasks, regardless of the team's limit
  std::uint32_t permitted = 0;  ///< Number of these tasks that the team's limit still allows
  DemandPurpose purpose = DemandPurpose::waiting_tasks;
  /// Whether offers on which a service starts later are ranked as if they cost more
  bool prefer_quick_start = true;
};

/// The whole demand of one scaling pass.
struct CapacityDemand {
  std::vector<TaskDemand> tasks;  ///< In packing order
  std::int64_t cpus = 0;          ///< Thousandths of CPUs: in use, demanded, and reserves
};

/// Returns how many waiting tasks of the job need capacity at the same time. Tasks of an array may
/// run one after another on the same capacity, in as many rounds as its deadline allows, but at
/// most four; three without a deadline, fewer the longer the job has waited. All waiting tasks of
/// other jobs need capacity at the same time.
std::uint32_t tasks_wanted_at_once(const cluster::Job& job, WallTime now);

/// Returns the demand in packing order: waiting tasks (services first, then by priority and id),
/// the reserve for each class of services, and the reserve for each class of recent gangs. The
/// order is deterministic.
CapacityDemand measure_demand(const cluster::ClusterState& cluster_state,
                              const ScalingContext& context);

}  // namespace poppystile::planning
