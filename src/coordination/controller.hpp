/// \file
/// One controller: wires the parts together and routes requests.
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

/// One controller of the deployment. All of them answer users; at most one leads and answers
/// workers, which the others redirect to it.
class Controller {
 public:
  /// All references must outlive the controller. `seed` tells this incarnation of the process from
  /// earlier ones, and starts the random numbers of the election.
  Controller(transport::Runtime& runtime, transport::HttpCaller& http,
             transport::PeerTransport& peers, const protocol::Settings& settings,
             const protocol::Properties& properties, std::uint64_t seed);
  /// Begins to read the shared state, to campaign and to broadcast. Call it once.
  void start();
  /// Routes a request of a user or a worker. `respond` is called once, at once or later.
  void handle(const transport::HttpRequest& request, transport::Respond respond);
  /// Whether the request is a worker's heartbeat: worker leases depend on those.
  static bool is_vital(const transport::HttpRequest& request);
  /// Whether this controller leads, as far as it knows.
  bool is_leader() const { return election_.is_leader(); }
  /// The fencing token of its newest election; 0 if it was never elected.
  std::uint64_t token() const { return election_.token(); }

 private:
  void broadcast_status();
  void refresh_state_contact();
  void check_worker_reachability();
  protocol::PeerStatus make_status(std::uint64_t redirected_heartbeats) const;
  void on_peer_status(const std::string& frame);
  void step_down_if_superseded(const protocol::PeerStatus& status);
  void handle_heartbeat(const std::string& body, const transport::Respond& respond);
  void redirect_heartbeat(const transport::Respond& respond);
  SteadyTime may_respond_until() const;
  bool takes_requests() const;
  TaskCounts task_counts(const std::string& job) const;

  transport::Runtime& runtime_;
  transport::PeerTransport& peer_transport_;
  const protocol::Settings& settings_;
  std::uint64_t incarnation_;  // of this process; nothing is remembered of earlier ones
  WallTime started_at_;
  KeyValueClient key_value_client_;
  SharedStateCache shared_state_;
  LeaderElection election_;
  JournalWriter journal_;
  FleetManager fleet_;
  Leader leader_;
  JobApi job_api_;
  PeerMonitor peer_monitor_;
  CancellationTracker cancellations_;
  WorkerReachability worker_reachability_;
};

}  // namespace poppystile::coordination
