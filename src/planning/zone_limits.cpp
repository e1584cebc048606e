#include "planning/zone_limits.hpp"

#include "planning/saturating_subtract.hpp"

namespace poppystile::planning {

using protocol::JobSpec;

std::uint32_t ZoneLimits::remaining_constrained_tasks(const JobSpec& job, const std::string& zone) {
  const TasksByZone& zones = tasks_by_zone(job);
  if (job.one_zone)
    for (const auto& [other_zone, count] : zones)
      if (count > 0 && other_zone != zone) return 0;
  if (!job.spread) return job.tasks;
  const auto in_zone = zones.find(zone);
  const std::uint32_t max_in_zone = (job.tasks + 1) / 2;
  return in_zone == zones.end() ? max_in_zone : saturating_subtract(max_in_zone, in_zone->second);
}

ZoneLimits::TasksByZone& ZoneLimits::tasks_by_zone(const JobSpec& job) {
  const auto [found, is_new] = tasks_by_job_.try_emplace(job.id);
  if (is_new)
    for (const auto& [index, machine] : cluster_state_.jobs.at(job.id).placements)
      ++found->second[machine->zone];
  return found->second;
}

}  // namespace poppystile::planning
