/// \file
/// The leader's state of one machine of the fleet.
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

/// A start command that was sent to a worker.
struct SentStart {
  std::string job;
  std::uint32_t index = 0;
  std::uint64_t attempt = 0;
  SteadyTime effective_until;  // Until then the worker may execute a copy of the response.
};

struct Machine {
  std::string id;
  std::string type;
  std::string zone;
  bool spot = false;
  WallTime rented_at;

  // Properties of the machine type; zero `size` until the type is known.
  Resources size;
  double fetch_gb_per_s = 1;
  double cache_gb = 0;
  Seconds boot_time{0};  // Usual boot time.

  Resources used;  // Sum over the placements that have not exited.
  std::vector<Placement> placements;
  std::vector<CachedImage> images;  // Cached images, least recently used first.

  // The newest heartbeat of its worker.
  std::uint64_t incarnation = 0;  // 0: no heartbeat was received.
  std::uint64_t sequence = 0;
  // When this leader received the first heartbeat of the incarnation; default if the incarnation
  // began under a former leader.
  SteadyTime incarnation_started_at;
  SteadyTime last_heartbeat_at;

  // Communication with this leader. `has_reported` and `has_acknowledged_token` are cleared when
  // the worker lease expires.
  bool has_reported = false;            // A heartbeat has arrived.
  bool has_acknowledged_token = false;  // The newest heartbeat carried this leader's token.
  bool has_been_answered = false;       // Any heartbeat was answered by this leader.
  bool is_overdue = false;              // The next heartbeat is overdue.
  bool lease_expired = false;           // The worker lease expired, and no heartbeat followed.
  SteadyTime last_response_at;
  // Start commands of which copies may still be executed, in the order in which they were sent.
  std::vector<SentStart> recent_starts;

  // Each of these flags alone excludes the machine from new placements.
  bool releasing = false;  // Its release was requested or is scheduled.
  bool draining = false;   // Released as soon as it has no placements.
  bool preemption_noticed = false;
  bool quarantined = false;
  bool is_unresponsive = false;  // It sends heartbeats, but responses seem to be lost.

  // Failures.
  int failures = 0;  // Task failures attributed to the machine since a task last finished on it.
  // Incarnations and worker leases in a row that ended although start commands were sent, without a
  // heartbeat that listed any of the tasks.
  int incarnations_without_start = 0;
  std::set<std::string> failed_jobs;  // Jobs of the tasks counted in `failures`.
  SteadyTime avoid_until;
  SteadyTime unresponsive_since;

  /// Resources that are not in use.
  Resources free_resources() const {
    Resources free = size;
    free -= used;
    return free;
  }

  /// Whether the image is in the machine's cache, according to `images`.
  bool has_cached(const std::string& image) const;

  /// Marks an image of `gb` GB as most recently used. Evicts the least recently used other images
  /// until the total fits into `cache_gb`.
  void mark_image_used(const std::string& name, double gb);

  /// The placement with this job, task index and attempt; null when the machine has none. Valid
  /// until `placements` changes.
  Placement* find(const std::string& job, std::uint32_t index, std::uint64_t attempt);

  /// Records that a start command is sent now, and that a copy of it is executed until
  /// `effective_until` at most. Forgets the start commands that are not executed any more.
  void record_start(const Placement& started, SteadyTime now, SteadyTime effective_until);

  /// Whether the worker may execute a copy of a start command for this job, task index and attempt.
  /// It does so only after a command to forget the attempt.
  bool may_start_again(const std::string& job, std::uint32_t index, std::uint64_t attempt,
                       SteadyTime now) const;
};

}  // namespace poppystile::cluster
