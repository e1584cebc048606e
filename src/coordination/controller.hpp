// One controller: wires the parts together and routes requests.
#pragma once

#include <deque>
#include <map>
#include <string>

#include "coordination/api/job_api.hpp"
#include "coordination/election/leader_election.hpp"
#include "coordination/fleet/fleet_manager.hpp"
#include "coordination/journal/journal_writer.hpp"
#include "coordination/leader/leader.hpp"
#include "coordination/state/key_value_client.hpp"
#include "coordination/state/shared_state_cache.hpp"
#include "protocol/peer_messages.hpp"
#include "protocol/properties.hpp"
#include "protocol/settings.hpp"
#include "transport/event_loop.hpp"
#include "transport/http.hpp"
#include "transport/peer_link.hpp"

namespace poppystile::coordination {

class Controller {
 public:
  Controller(transport::Runtime& runtime, transport::HttpCaller& http,
             transport::PeerTransport& peers, const protocol::Settings& settings,
             const protocol::Properties& properties, std::uint64_t seed);
  void start();
  void handle(const transport::HttpRequest& request, transport::Respond respond);
  // Whether the request is a worker's report: leases hang on those.
  static bool is_vital(const transport::HttpRequest& request);
  bool is_leader() const { return election_.is_leader(); }
  // Of its newest election.
  std::uint64_t token() const { return election_.token(); }

 private:
  void broadcast_status();
  void on_peer_status(const std::string& frame);
  void handle_heartbeat(const std::string& body, const transport::Respond& respond);
  void check_worker_reachability();
  bool takes_requests() const;
  // Steady time up to which this node surely knows every cancellation that any user was told of.
  SteadyTime cancellations_known_until() const;
  // Steady time until which a leader may answer workers.
  SteadyTime may_respond_until() const;
  // Steady time by our clock of a time of day by a sibling's, surely not too late.
  SteadyTime to_steady(WallTime time) const;
  TaskCounts counts(const std::string& job) const;

  struct Peer {
    protocol::PeerStatus last;      // its newest frame
    std::uint64_t incarnation = 0;  // whose word counts
    // Steady; whatever cancellation it told a user before, in any life, its frames have told us.
    SteadyTime confirmed_until;
  };
  void confirm_cancellations_known(Peer& peer, const protocol::PeerStatus& status);

  transport::Runtime& runtime_;
  transport::PeerTransport& peer_transport_;
  const protocol::Settings& settings_;
  // Tell this life of the process from earlier ones, of which nothing is remembered here.
  std::uint64_t incarnation_;
  WallTime started_at_;
  KeyValueClient key_value_client_;
  SharedStateCache shared_state_;
  LeaderElection election_;
  JournalWriter journal_;
  FleetManager fleet_;
  Leader leader_;
  JobApi job_api_;
  std::map<std::string, Peer> peer_states_;
  // Steady; what was committed before is known to us by a sibling's directory.
  SteadyTime peers_fresh_as_of_;
  std::map<std::string, TaskCounts> advertised_counts_;  // by the leader
  // Reports since the last beat: that came to us as leader, that we redirected, that siblings did.
  struct WorkerReachability {
    SteadyTime at;
    std::uint64_t direct_reports = 0, redirected_heartbeats = 0, redirected_elsewhere = 0;
  };
  WorkerReachability reachability_now_;
  std::deque<WorkerReachability> reachability_;  // of the last beats
  int silent_heartbeats_ = 0;                    // in a row, as leader, without a report
};

}  // namespace poppystile::coordination
