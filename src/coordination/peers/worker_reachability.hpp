/// \file
/// Whether workers reach the controller that leads, and when it should resign because they do not.
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
  all_workers_silent,   // every machine stopped sending heartbeats at once
  workers_reach_peers,  // peers redirect many more heartbeats than arrive here
  no_worker_reports     // neither workers nor peers can be heard
};

/// The reason as it stands in the log.
std::string_view describe(ResignReason reason);

/// What a leader knows when an interval ends.
struct LeaderObservation {
  bool is_ready = false;        // it has replayed the journal
  bool lease_holds = false;     // its leader lease cannot have expired yet
  bool hears_any_peer = false;  // some peer sent a status a moment ago
  std::size_t responsive_machines = 0;
};

/// Counts worker heartbeats by how they arrive, one interval per status broadcast.
///
/// A leader that holds its lease while workers do not reach it is of no use, and the workers'
/// leases expire: it should leave leadership to a peer that they do reach. Peers that hear this
/// controller contradict by redirecting nothing; when no peer can be heard, silence of all machines
/// suffices.
class WorkerReachability {
 public:
  /// Both arguments must outlive this object.
  WorkerReachability(const transport::Runtime& runtime, const protocol::Settings& settings)
      : runtime_(runtime), settings_(settings) {}

  /// A heartbeat arrived while this controller leads.
  void count_direct() { ++current_.direct; }
  /// A heartbeat arrived that this controller redirects.
  void count_redirected() { ++current_.redirected; }
  /// A peer reports that it redirected `count` heartbeats.
  void count_redirected_by_peer(std::uint64_t count) { current_.redirected_by_peers += count; }
  /// Heartbeats redirected by this controller in the current interval.
  std::uint64_t redirected_in_interval() const { return current_.redirected; }

  /// Ends the current interval; `leader` is empty while this controller does not lead. Returns why
  /// this controller should resign, if it should; counting then begins again.
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
  Interval current_;
  std::deque<Interval> ended_;  // of this term and within the window
  int silent_intervals_ = 0;    // in a row, as leader, without a direct heartbeat
};

}  // namespace poppystile::coordination
