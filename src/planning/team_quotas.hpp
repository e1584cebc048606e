/// \file
/// What each team may use, and what it uses with the plan so far.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "cluster/cluster_state.hpp"
#include "protocol/settings.hpp"

namespace poppystile::planning {

/// The teams' limits against their use. A copy can be used to try something out.
class TeamQuotas {
 public:
  TeamQuotas(const std::vector<protocol::TeamSettings>& teams,
             const std::map<std::string, cluster::TeamUsage>& usage);

  /// How many more tasks of the job its team's limit allows: at most `constants::max_tasks`, and 0
  /// for a team that the settings do not name.
  std::uint32_t remaining_tasks(const protocol::JobSpec& job) const;
  /// Counts `count` tasks of the job as used by its team.
  void add(const protocol::JobSpec& job, std::uint32_t count);

 private:
  std::map<std::string, protocol::Resources> limits_;  // 0: no limit
  std::map<std::string, protocol::Resources> used_;
};

}  // namespace poppystile::planning
