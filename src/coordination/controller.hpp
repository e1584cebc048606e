/// \file
/// The controller: constructs and connects its components, and routes requests.
#pragma once

#include <cstdint>
#include <string>

#include "coordination/api/job_api.hpp"
#include "coordination/election/leader_election.hpp"
#include "coordination/fleet/fleet_manager.hpp"
#include "coordination/journal/journal_writer.hpp"
#include "coordination/leader/leader.hpp"
#include "coordination/peers/cancellation_tracker.hpp"
#include "coordination/peers/peer_monitor.hpp"
#include "coordination/peers/worker_reachability.hpp"
#include "coordination/state/key_value_client.hpp"
#include "coordination/state/shared_state_cache.hpp"
#include "protocol/peer_messages.hpp"
#include "protocol/properties.hpp"
#include "protocol/settings.hpp"
#include "transport/event_loop.hpp"
#include "transport/http.hpp"
#include "transport/peer_connections.hpp"

namespace poppystile::coordination {

/// One controller of the deployment. Every controller answers users. At most one is the leader and
/// answers workers; the others redirect workers to it.
class Controller {
 public:
  /// All references must outlive the controller. `seed` identifies this incarnation of the process,
  /// so it must differ from those of earlier ones. It also seeds the election's random numbers.
  Controller(transport::Runtime& runtime, transport::HttpCaller& http,
             transport::PeerTransport& peers, const protocol::Settings& settings,
             const protocol::Properties& properties, std::uint64_t seed);
  /// Starts to load the shared state, to campaign for leadership and to broadcast this controller's
  /// status to its peers. Call it once.
  void start();
  /// Routes a request of a user or a worker. `respond` is called exactly once, before this function
  /// returns or later.
  void handle(const transport::HttpRequest& request, transport::Respond respond);
  /// Whether the request is a worker's heartbeat. Worker leases expire without heartbeats, so they
  /// take precedence over users' requests.
  static bool is_heartbeat(const transport::HttpRequest& request);
  /// Whether this controller is the leader. May still be true shortly after it was deposed.
  bool is_leader() const { return election_.is_leader(); }
  /// The fencing token of the last election that this controller won; 0 if it has won none.
  std::uint64_t token() const { return election_.token(); }

 private:
  void broadcast_status();
  void refresh_state_contact();
  void check_worker_reachability();
  protocol::PeerStatus make_status(std::uint64_t redirected_heartbeats) const;
  void on_peer_frame(const std::string& frame);
  void on_peer_status(protocol::PeerStatus status);
  void step_down_if_superseded(const protocol::PeerStatus& status);
  void handle_heartbeat(const std::string& body, const transport::Respond& respond);
  void redirect_heartbeat(const transport::Respond& respond);
  SteadyTime response_deadline() const;
  bool accepts_requests() const;
  TaskCounts task_counts(const std::string& job) const;

  transport::Runtime& runtime_;
  transport::PeerTransport& peer_transport_;
  const protocol::Settings& settings_;
  std::uint64_t incarnation_;  // Identifies this process; no state survives a restart.
  WallTime started_at_;
  KeyValueClient key_value_client_;
  SharedStateCache shared_state_;
  LeaderElection election_;
  JournalWriter journal_;
  FleetManager fleet_;
  Leader leader_;
  JobStateAnnouncer job_state_announcer_;
  JobApi job_api_;
  PeerMonitor peer_monitor_;
  CancellationTracker cancellations_;
  WorkerReachability worker_reachability_;
};

}  // namespace poppystile::coordination
