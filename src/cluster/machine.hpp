/// \file
/// A machine of the fleet, as the leader knows it.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "clock.hpp"
#include "cluster/placement.hpp"
#include "storage/records.hpp"

namespace poppystile::cluster {

using storage::CachedImage;

struct Machine {
  std::string id;
  std::string type;
  std::string zone;
  bool spot = false;
  WallTime rented_at;

  // Of its type.
  Resources size;
  double fetch_gb_per_s = 1;
  double cache_gb = 0;
  Seconds boot_time{0};  // usual

  Resources used;  // by everything that may be on it
  std::vector<Placement> placements;
  std::vector<CachedImage> images;  // least recently used first

  // Its worker's newest report.
  std::uint64_t incarnation = 0;  // 0: it has never reported
  std::uint64_t sequence = 0;
  SteadyTime incarnation_started_at;  // the incarnation's first report
  SteadyTime last_heartbeat_at;

  // Contact with this leader.
  bool has_reported = false;            // has reported, and its lease has not expired since
  bool has_acknowledged_token = false;  // its worker has seen this leader's token
  bool has_been_answered = false;       // ever
  bool is_overdue = false;              // its next report is
  bool lease_expired = false;           // it was not answered for longer than its lease
  SteadyTime last_response_at;

  // Flags that exclude machines from new work, independent of one another.
  bool releasing = false;  // it is being given back
  bool draining = false;   // takes nothing new, and is given back once it is empty
  bool preemption_noticed = false;
  bool quarantined = false;
  bool is_unresponsive = false;  // it reports, but our responses seem not to arrive

  // Failures.
  int failures = 0;                    // of tasks, in a row
  int incarnations_without_start = 0;  // in a row, that ended without showing a start that was sent
  std::set<std::string> failed_jobs;
  SteadyTime avoid_until;
  SteadyTime unresponsive_since;

  /// Resources that nothing uses.
  Resources room() const {
    Resources free = size;
    free -= used;
    return free;
  }

  /// Whether the image is in the machine's cache.
  bool holds(const std::string& image) const;

  /// Marks an image as just used; the least recently used ones leave when the cache is full.
  void mark_image_used(const std::string& name, double gb);

  /// The placement of this task and attempt; null when the machine has none.
  Placement* find(const std::string& job, std::uint32_t index, std::uint64_t attempt);
};

}  // namespace poppystile::cluster
