/// \file
/// Decides from the leader's cluster state which tasks are placed on which machines, and which are
/// preempted. Pure: the cluster state is only read, and a plan is returned.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "cluster/cluster_state.hpp"
#include "planning/eligibility.hpp"
#include "planning/labl.hpp"
#include "protocol/settings.hpp"

namespace poppystile::planning {

/// One waiting task of the job with the id `job` is to be placed on the machine with the id
/// `machine`. The caller chooses the task.
struct PlannedPlacement {
  std::string machine;
  std::string job;
};

/// A task that is to be preempted on `machine`.
struct PlannedPreemption {
  std::string machine;
  std::string job;
  std::uint32_t index = 0;
  std::uint64_t attempt = 0;
};

/// Why a gang has to wait.
enum class GangWaitReason : std::uint8_t {
  team_limit,              // The gang needs more than the remaining quota of its team.
  insufficient_resources,  // No zone was found with enough resources, even with preemptions.
  resources_being_freed,   // Other tasks are stopping; their resources are reserved for the gang.
};
/// The reason as a text for the log.
const char* to_string(GangWaitReason reason);

/// The zone chosen for the waiting tasks of an array with `one_zone`.
struct ZoneChoice {
  std::string zone;
  /// How many of the tasks fit into free resources of the zone.
  std::uint32_t free_tasks = 0;
};

/// The decisions of one planning pass, in the order in which they were made.
struct Plan {
  std::vector<PlannedPlacement> placements;
  std::vector<PlannedPreemption> preemptions;
  std::map<std::string, GangWaitReason> waiting_gangs;  // by job id
  std::map<std::string, ZoneChoice> zone_choices;       // by job id
};

/// Inputs of a plan besides the cluster state. The pointers must not be null.
struct PlanningContext {
  SteadyTime now;
  const std::vector<protocol::TeamSettings>* teams = nullptr;
  LablWeights weights;
  Seconds heartbeat_interval{1};
  WallTime wall_now;
  const std::vector<protocol::FinishObjective>* finish_objectives = nullptr;
  // How long after the placement of a gang its lost tasks may be replaced
  // (`GangTimes::task_replacement_window`).
  Seconds gang_task_replacement_window{0};
};

/// Plans the schedulable tasks of all jobs onto the schedulable machines: services, then the first
/// tasks of starved arrays, then, from the highest priority to the lowest, gangs and other arrays.
Plan make_plan(const cluster::ClusterState& cluster_state, const PlanningContext& context);

}  // namespace poppystile::planning
