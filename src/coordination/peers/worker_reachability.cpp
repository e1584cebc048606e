#include "coordination/peers/worker_reachability.hpp"

#include <utility>

#include "constants.hpp"

namespace poppystile::coordination {

std::string_view describe(ResignReason reason) {
  switch (reason) {
    case ResignReason::all_workers_silent:
      return "all workers stopped sending heartbeats at once";
    case ResignReason::workers_reach_peers:
      return "workers reach peers but not this controller";
    case ResignReason::no_worker_reports:
      return "neither heartbeats of workers nor statuses of peers arrive";
  }
  return "";
}

std::optional<ResignReason> WorkerReachability::end_interval(
    const std::optional<LeaderObservation>& leader) {
  const SteadyTime now = runtime_.now();
  current_interval_.ended_at = now;
  ended_intervals_.push_back(std::exchange(current_interval_, {}));
  if (!leader || was_paused()) {
    ended_intervals_.clear();
    silent_intervals_ = 0;
    return std::nullopt;
  }
  silent_intervals_ = ended_intervals_.back().direct > 0 ? 0 : silent_intervals_ + 1;
  if (all_workers_silent(*leader)) {
    ended_intervals_.clear();
    silent_intervals_ = 0;
    return ResignReason::all_workers_silent;
  }
  const bool window_is_full = drop_intervals_before_window(now);
  if (!window_is_full || ended_intervals_.empty() || settings_.peers.empty() || !leader->is_ready)
    return std::nullopt;
  const auto reason = evaluate_window(*leader);
  if (reason) ended_intervals_.clear();
  return reason;
}

// Whether this process was paused, for example suspended, during the interval that has just ended.
// Earlier counts then do not describe the current state.
bool WorkerReachability::was_paused() const {
  if (ended_intervals_.size() < 2) return false;
  const Seconds interval =
      ended_intervals_.back().ended_at - ended_intervals_[ended_intervals_.size() - 2].ended_at;
  return interval > 2 * constants::peer_heartbeat_interval;
}

// Workers that cannot reach the leader wait for `worker_response_timeout`, are redirected back to
// it by a peer and wait again; a short worker lease expires in that time. If the heartbeats of all
// workers stop at once, the leader therefore does not wait for the peers' counts. It keeps its role
// if its lease may have expired, as in an outage of the state service: no peer could take over.
bool WorkerReachability::all_workers_silent(const LeaderObservation& leader) const {
  const Seconds silence = silent_intervals_ * constants::peer_heartbeat_interval;
  return silence > constants::max_heartbeat_interval_factor * settings_.heartbeat_interval +
                       constants::lease_margin &&
         leader.responsive_machines >= constants::reachability_min_machines &&
         leader.has_valid_lease;
}

// Returns whether any interval was dropped: only then do the remaining ones span the whole window.
bool WorkerReachability::drop_intervals_before_window(SteadyTime now) {
  bool dropped = false;
  while (!ended_intervals_.empty() &&
         now - ended_intervals_.front().ended_at > constants::reachability_window) {
    ended_intervals_.pop_front();
    dropped = true;
  }
  return dropped;
}

std::optional<ResignReason> WorkerReachability::evaluate_window(
    const LeaderObservation& leader) const {
  std::uint64_t direct = 0;
  std::uint64_t redirected_by_peers = 0;
  for (const auto& interval : ended_intervals_) {
    direct += interval.direct;
    redirected_by_peers += interval.redirected_by_peers;
  }
  if (redirected_by_peers >= constants::reachability_min_machines &&
      redirected_by_peers > direct * constants::resign_ratio)
    return ResignReason::workers_reach_peers;
  if (!leader.has_recent_peer_status && direct == 0 &&
      leader.responsive_machines >= constants::reachability_min_machines)
    return ResignReason::no_worker_reports;
  return std::nullopt;
}

}  // namespace poppystile::coordination
