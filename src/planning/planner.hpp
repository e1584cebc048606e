/// \file
/// Decides from the leader's cluster state which tasks are placed where, and which are preempted.
/// Pure: reads the cluster state and changes nothing.
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

/// One waiting task of `job` is to be placed on `machine`; which of them is the caller's choice.
struct PlannedPlacement {
  std::string machine;
  std::string job;
};

/// A task to be preempted.
struct PlannedPreemption {
  std::string machine;
  std::string job;
  std::uint32_t index = 0;
  std::uint64_t attempt = 0;
};

/// Why a gang has to wait.
enum class GangWaitReason : std::uint8_t {
  team_limit,   // its tasks together exceed what is left of the team's limit
  no_room,      // too little room in every zone, or on all machines, where it may run
  making_room,  // other tasks are preempted for it, or about to be gone
};
/// The reason in words, for the log.
const char* to_string(GangWaitReason reason);

/// The decisions of one planning pass, in the order in which they were made.
struct Plan {
  std::vector<PlannedPlacement> placements;
  std::vector<PlannedPreemption> preemptions;
  std::map<std::string, GangWaitReason> waiting_gangs;  // by job
};

/// What a plan depends on besides the cluster state. The pointers must not be null.
struct PlanningContext {
  SteadyTime now;
  const std::vector<protocol::TeamSettings>* teams = nullptr;
  LablWeights weights;
  Seconds heartbeat_interval{1};
  WallTime wall_now;
  const std::vector<protocol::FinishAim>* finish_aims = nullptr;
  Seconds gang_task_replacement_window{0};  // GangTimes::task_replacement_window
};

/// Plans all waiting jobs onto the machines that take tasks: services, then the first tasks of
/// starved arrays, then by priority the gangs and the other arrays.
Plan make_plan(const cluster::ClusterState& cluster_state, const PlanningContext& context);

}  // namespace poppystile::planning
