#include "coordination/peers/peer_monitor.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "constants.hpp"

namespace poppystile::coordination {

std::optional<protocol::PeerStatus> PeerMonitor::decode(const std::string& frame) const {
  auto status = protocol::decode_peer_status(frame);
  if (!status) {
    spdlog::info("peer status frame malformed bytes={}", frame.size());
    return std::nullopt;
  }
  const bool is_configured =
      std::any_of(settings_.peers.begin(), settings_.peers.end(),
                  [&](const auto& peer) { return peer.name == status->name; });
  if (!is_configured) {
    spdlog::info("peer status ignored, sender is not a configured peer name={}", status->name);
    return std::nullopt;
  }
  return status;
}

bool PeerMonitor::is_superseded(const protocol::PeerStatus& status) const {
  const auto found = latest_.find(status.name);
  return found != latest_.end() && status.sent_at < found->second.sent_at;
}

bool PeerMonitor::is_recent(const protocol::PeerStatus& status) const {
  return runtime_.wall_now() - status.sent_at < constants::max_peer_status_age;
}

const protocol::PeerStatus& PeerMonitor::record(protocol::PeerStatus status) {
  if (status.is_leader) {
    advertised_counts_.clear();
    for (const auto& counts : status.counts) advertised_counts_[counts.job] = counts;
  }
  protocol::PeerStatus& latest = latest_[status.name];
  latest = std::move(status);
  return latest;
}

bool PeerMonitor::has_recent_peer_status() const {
  return std::any_of(latest_.begin(), latest_.end(),
                     [&](const auto& entry) { return is_recent(entry.second); });
}

bool PeerMonitor::any_peer_reaches_state_service() const {
  return std::any_of(latest_.begin(), latest_.end(), [&](const auto& entry) {
    return runtime_.wall_now() - entry.second.state_contact_at <
           constants::state_contact_stale_after;
  });
}

std::optional<protocol::JobCounts> PeerMonitor::advertised_counts(const std::string& job) const {
  const auto found = advertised_counts_.find(job);
  if (found == advertised_counts_.end()) return std::nullopt;
  return found->second;
}

}  // namespace poppystile::coordination
