/// \file
/// Detects that workers cannot reach the leader, so that it should resign.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string_view>

#include "protocol/settings.hpp"
#include "transport/event_loop.hpp"

namespace poppystile::coordination {

/// Why a leader should resign.
enum class ResignReason : std::uint8_t {
  all_workers_silent,   // The heartbeats of all machines stopped at once.
  workers_reach_peers,  // Peers redirect many more heartbeats than arrive here.
  no_worker_reports     // Neither heartbeats nor recent statuses of peers arrive.
};

/// The text that is logged for a reason.
std::string_view describe(ResignReason reason);

/// The leader's state at the end of an interval.
struct LeaderObservation {
  bool is_ready = false;                // The leader has replayed the journal.
  bool has_valid_lease = false;         // The leader lease cannot have expired yet.
  bool has_recent_peer_status = false;  // A recent status of any peer has arrived.
  std::size_t responsive_machines = 0;
};

/// Counts worker heartbeats by where they arrive. An interval lasts from one status broadcast to
/// the next.
///
/// The leases of workers that cannot reach the leader expire, so a leader should resign in favor of
/// a peer that they do reach. It compares the heartbeats that arrive here with those that its peers
/// redirect. While statuses of peers arrive that report no redirected heartbeats, the workers do
/// not reach those peers either, and this comparison gives no reason to resign. If no status
/// arrives, the absence of all heartbeats suffices.
class WorkerReachability {
 public:
  /// Both references must outlive this object.
  WorkerReachability(const transport::Runtime& runtime, const protocol::Settings& settings)
      : runtime_(runtime), settings_(settings) {}

  /// Counts a heartbeat that arrived here while this controller is the leader.
  void count_direct() { ++current_interval_.direct; }
  /// Counts a heartbeat that this controller redirects.
  void count_redirected() { ++current_interval_.redirected; }
  /// Adds `count` heartbeats that a peer reports to have redirected.
  void count_redirected_by_peer(std::uint64_t count) {
    current_interval_.redirected_by_peers += count;
  }
  /// Number of heartbeats redirected by this controller in the current interval.
  std::uint64_t redirected_in_interval() const { return current_interval_.redirected; }

  /// Ends the current interval. `leader` is empty while this controller is not the leader. Returns
  /// the reason for which this controller should resign, and then discards all counts; `nullopt` if
  /// it should not resign.
  std::optional<ResignReason> end_interval(const std::optional<LeaderObservation>& leader);

 private:
  struct Interval {
    SteadyTime ended_at;
    std::uint64_t direct = 0;
    std::uint64_t redirected = 0;
    std::uint64_t redirected_by_peers = 0;
  };

  bool was_paused() const;
  bool all_workers_silent(const LeaderObservation& leader) const;
  bool drop_intervals_before_window(SteadyTime now);
  std::optional<ResignReason> evaluate_window(const LeaderObservation& leader) const;

  const transport::Runtime& runtime_;
  const protocol::Settings& settings_;
  Interval current_interval_;
  std::deque<Interval> ended_intervals_;  // Intervals of this term within `reachability_window`.
  int silent_intervals_ = 0;  // Consecutive intervals as leader without a direct heartbeat.
};

}  // namespace poppystile::coordination
