/// \file
/// The resource limits of the teams, and the teams' usage including the plan so far.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "cluster/cluster_state.hpp"
#include "protocol/settings.hpp"

namespace poppystile::planning {

/// Compares the teams' limits with their usage. A copy can count tasks that may not be placed in
/// the end, without effect on the original.
class TeamQuotas {
 public:
  TeamQuotas(const std::vector<protocol::TeamSettings>& teams,
             const std::map<std::string, cluster::TeamUsage>& usage);

  /// How many more tasks of the job its team's limits on CPUs and GPUs allow: at most
  /// `constants::max_tasks`, and 0 for a team that the settings do not name.
  std::uint32_t remaining_tasks(const protocol::JobSpec& job) const;
  /// Adds `count` tasks of the job to its team's usage, which may exceed the limits.
  void add(const protocol::JobSpec& job, std::uint32_t count);

 private:
  std::map<std::string, protocol::Resources> limits_;  // by team; 0: no limit
  std::map<std::string, protocol::Resources> used_;    // by team
};

}  // namespace poppystile::planning
