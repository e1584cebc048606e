/// \file
/// From the leader's cluster state to placements and preemptions. Pure: reads the model, changes
/// nothing.
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

/// One task of `job` goes to `machine`; which task is the caller's choice.
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

/// Why a gang was not placed.
enum class GangWaitReason : std::uint8_t {
  team_limit,   // all tasks together exceed what is left of it
  no_room,      // too little room in every allowed zone, or wherever it may run
  making_room,  // others were stopped for it, or room is about to be free
};
/// The reason in words, for the log.
const char* to_string(GangWaitReason reason);

/// What one planning pass decided, in the order in which it was decided.
struct Plan {
  std::vector<PlannedPlacement> placements;
  std::vector<PlannedPreemption> preemptions;
  std::map<std::string, GangWaitReason> waiting_gangs;  // by job
};

/// What a plan depends on besides the model. The pointers must not be null.
struct PlanningContext {
  SteadyTime now;  // steady
  const std::vector<protocol::TeamSettings>* teams = nullptr;
  LablWeights weights;
  Seconds heartbeat_interval{1};
  WallTime wall_now;
  const std::vector<protocol::FinishAim>* finish_aims = nullptr;
  Seconds gang_task_replacement_window{0};  // GangTimes::task_replacement_window
};

/// Plans all waiting jobs onto the machines that take tasks: services first, then arrays that have
/// waited long, then the other arrays by priority.
Plan make_plan(const cluster::ClusterState& cluster_state, const PlanningContext& context);

}  // namespace poppystile::planning
