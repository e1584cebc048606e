#include "planning/replica_zones.hpp"

namespace poppystile::planning {

void ReplicaZones::add(const std::string& job_class, const std::string& zone) {
  ++counts_[job_class][zone];
}

double ReplicaZones::share_in(const std::string& job_class, const std::string& zone) const {
  const auto zones = counts_.find(job_class);
  if (zones == counts_.end()) return 0;
  std::uint32_t total = 1;
  for (const auto& [name, count] : zones->second) total += count;
  const auto in_zone = zones->second.find(zone);
  return in_zone == zones->second.end() ? 0.0 : static_cast<double>(in_zone->second) / total;
}

}  // namespace poppystile::planning
