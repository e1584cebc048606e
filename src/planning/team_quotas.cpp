#include "planning/team_quotas.hpp"

#include <algorithm>
#include <cmath>

#include "constants.hpp"

namespace poppystile::planning {

using protocol::JobSpec;
using protocol::Resources;

namespace {

/// Lowers `count` to the number of tasks, of `amount` each, that fit between `used` and `limit`. A
/// limit of 0 means no limit.
void apply_limit(std::int64_t& count, std::int64_t limit, std::int64_t used, std::int64_t amount) {
  if (limit > 0 && amount > 0) count = std::min(count, (limit - used) / amount);
}

}  // namespace

TeamQuotas::TeamQuotas(const std::vector<protocol::TeamSettings>& teams,
                       const std::map<std::string, cluster::TeamUsage>& usage) {
  for (const auto& team : teams) {
    limits_[team.name] = {std::llround(team.cpus_max * 1000), std::llround(team.gpus_max * 1000),
                          0};
    const auto found = usage.find(team.name);
    if (found != usage.end()) used_[team.name] = found->second.used;
  }
}

std::uint32_t TeamQuotas::remaining_tasks(const JobSpec& job) const {
  const auto limit = limits_.find(job.team);
  if (limit == limits_.end()) return 0;
  const auto found = used_.find(job.team);
  const Resources used = found == used_.end() ? Resources{} : found->second;
  std::int64_t count = constants::max_tasks;
  apply_limit(count, limit->second.cpus, used.cpus, job.task_resources.cpus);
  apply_limit(count, limit->second.gpus, used.gpus, job.task_resources.gpus);
  return static_cast<std::uint32_t>(std::max<std::int64_t>(0, count));
}

void TeamQuotas::add(const JobSpec& job, std::uint32_t count) {
  const std::int64_t factor = count;
  used_[job.team] += Resources{job.task_resources.cpus * factor, job.task_resources.gpus * factor,
                               job.task_resources.memory * factor};
}

}  // namespace poppystile::planning
