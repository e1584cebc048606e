/// \file
/// Answers heartbeats: at once, or a moment later when a start for the machine is about to become
/// durable and can go with the response.
///
/// Starts go only with the response to a heartbeat, which a worker never acts on late: it drops the
/// response after a few seconds, and its next heartbeat tells whether the start arrived.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "clock.hpp"
#include "cluster/cluster_state.hpp"
#include "coordination/election/leader_election.hpp"
#include "coordination/journal/journal_writer.hpp"
#include "protocol/worker_messages.hpp"
#include "transport/event_loop.hpp"
#include "transport/http.hpp"

namespace poppystile::coordination {

class HeartbeatResponder {
 public:
  HeartbeatResponder(const transport::Runtime& runtime, cluster::ClusterState& cluster_state,
                     const LeaderElection& election, const JournalWriter& journal)
      : runtime_(runtime), cluster_state_(cluster_state), election_(election), journal_(journal) {}

  /// Answers a heartbeat that was processed, with `commands` and the starts that are due. Holds the
  /// response for at most `max_response_hold` if a start for the machine waits for the journal, or
  /// if `expects_placements`: the next plan may place tasks on the machine. An earlier response
  /// held for the machine is dropped, since its worker does not wait for it any more.
  void respond(cluster::Machine& machine, const protocol::Heartbeat& heartbeat,
               std::vector<protocol::Command> commands, bool expects_placements,
               transport::Respond respond);

  /// Sends the held responses that have nothing to wait for any more, or have waited long enough.
  void send_due();

  /// A plan was made: sends the held responses that waited for nothing else.
  void on_planned();

  /// Drops the response held for a machine that was removed.
  void drop(const std::string& machine) { pending_.erase(machine); }

  /// Sends all workers whose responses are held to another controller: the term has ended.
  void redirect_all();

  bool has_pending() const { return !pending_.empty(); }

 private:
  struct PendingResponse {
    transport::Respond respond;
    std::vector<protocol::Command> commands;
    std::uint64_t incarnation = 0;  // of the heartbeat
    std::uint64_t sequence = 0;     // of the heartbeat
    bool awaits_plan = true;        // no plan was made since the heartbeat came
    SteadyTime hold_until;
  };

  bool may_start(const cluster::Placement& placement) const;
  bool has_start_in_flight(const cluster::Machine& machine) const;
  void send_pending(const std::string& id);
  void send(cluster::Machine& machine, PendingResponse response);

  const transport::Runtime& runtime_;
  cluster::ClusterState& cluster_state_;
  const LeaderElection& election_;
  const JournalWriter& journal_;
  std::map<std::string, PendingResponse> pending_;  // by machine
};

}  // namespace poppystile::coordination
