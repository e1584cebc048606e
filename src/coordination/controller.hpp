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

class Node {
 public:
  Node(transport::Runtime& runtime, transport::HttpCaller& http, transport::PeerNet& peers,
       const protocol::Settings& settings, const protocol::Properties& properties,
       std::uint64_t seed);
  void start();
  void handle(const transport::HttpRequest& request, transport::Respond respond);
  // Whether the request is a worker's report: leases hang on those.
  static bool is_vital(const transport::HttpRequest& request);
  bool leads() const { return leadership_.leading(); }
  // Of its newest election.
  std::uint64_t token() const { return leadership_.token(); }

 private:
  void send_heartbeat();
  void on_heartbeat(const std::string& frame);
  void report(const std::string& body, const transport::Respond& respond);
  void check_worker_reachability();
  bool takes_requests() const;
  // Steady time up to which this node surely knows every cancellation that any user was told of.
  double cancellations_known_s() const;
  // Steady time until which a leader may answer workers.
  double answer_until_s() const;
  // Steady time by our clock of a time of day by a sibling's, surely not too late.
  double steady_s(double wall_s) const;
  TaskCounts counts(const std::string& job) const;

  struct Sibling {
    protocol::PeerStatus last;      // its newest frame
    std::uint64_t incarnation = 0;  // whose word counts
    // Steady; whatever cancellation it told a user before, in any life, its frames have told us.
    double vouched_s = 0;
  };
  void vouch(Sibling& sibling, const protocol::PeerStatus& status);

  transport::Runtime& runtime_;
  transport::PeerNet& peers_;
  const protocol::Settings& settings_;
  // Tell this life of the process from earlier ones, of which nothing is remembered here.
  std::uint64_t incarnation_;
  double born_wall_s_;
  StateStore store_;
  Directory directory_;
  Leadership leadership_;
  JournalDesk journal_;
  CloudDesk cloud_;
  Dispatcher dispatcher_;
  JobApi users_;
  std::map<std::string, Sibling> siblings_;
  // Steady; what was committed before is known to us by a sibling's directory.
  double siblings_proven_s_ = 0;
  std::map<std::string, TaskCounts> advertised_counts_;  // by the leader
  // Reports since the last beat: that came to us as leader, that we redirected, that siblings did.
  struct WorkerReachability {
    double at_s = 0;
    std::uint64_t heard = 0, redirected_reports = 0, redirected_elsewhere = 0;
  };
  WorkerReachability reachability_now_;
  std::deque<WorkerReachability> reachability_;  // of the last beats
  int silent_heartbeats_ = 0;                    // in a row, as leader, without a report
};

}  // namespace poppystile::coordination
