/// \file
/// The distribution of the replicas of each job class over the zones.
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace poppystile::planning {

/// Counts service replicas by job class and zone.
class ReplicaZones {
 public:
  /// Counts one replica of the class in the zone.
  void add(const std::string& job_class, const std::string& zone);
  /// Share of the class's replicas that are in the zone, from 0 to below 1: the total includes the
  /// next replica, which is in no zone yet.
  double share_in(const std::string& job_class, const std::string& zone) const;

 private:
  std::map<std::string, std::map<std::string, std::uint32_t>> counts_;  // by class, then by zone
};

}  // namespace poppystile::planning
