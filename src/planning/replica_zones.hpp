/// \file
/// How the replicas of each class of services are spread over the zones.
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace poppystile::planning {

/// Counts replicas by class and zone.
class ReplicaZones {
 public:
  /// Counts one replica of the class in the zone.
  void add(const std::string& job_class, const std::string& zone);
  /// Share of the class's replicas that are in the zone, from 0 to below 1: one more replica, the
  /// next one, counts in the whole.
  double share_in(const std::string& job_class, const std::string& zone) const;

 private:
  std::map<std::string, std::map<std::string, std::uint32_t>> counts_;  // by class, by zone
};

}  // namespace poppystile::planning
