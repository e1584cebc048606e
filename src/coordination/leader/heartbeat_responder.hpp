/// \file
/// Responds to heartbeats: at once, or after a short delay if a start command for the machine will
/// soon be durable and can be sent with the response.
///
/// Start commands are sent only in responses to heartbeats, because a worker never executes those
/// late: it discards a response that takes longer than `worker_response_timeout`, and its next
/// heartbeat shows whether the start arrived.
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

  /// Responds to a processed heartbeat with `commands` and all start commands that may be sent when
  /// the response is sent. If the worker has acknowledged this leader's token, holds the response
  /// for at most `max_response_hold` while a start for the machine waits for the journal, or while
  /// `expects_placements` is set because the next plan may place tasks on the machine. Drops a
  /// response still held for the machine, since its worker no longer waits for it.
  void respond(cluster::Machine& machine, const protocol::Heartbeat& heartbeat,
               std::vector<protocol::Command> commands, bool expects_placements,
               transport::Respond respond);

  /// Sends the held responses that wait for neither a plan nor the journal, and those that were
  /// held for `max_response_hold`.
  void send_due();

  /// Must be called after each plan. Sends the held responses that waited only for the plan.
  void on_planned();

  /// Drops the response held for a machine, because the machine is removed.
  void drop(const std::string& machine) { pending_.erase(machine); }

  /// Sends a redirect that names no leader instead of each held response, because the term has
  /// ended.
  void redirect_all();

  bool has_pending() const { return !pending_.empty(); }

 private:
  struct PendingResponse {
    transport::Respond respond;
    std::vector<protocol::Command> commands;
    std::uint64_t incarnation = 0;  // The worker's incarnation in the heartbeat.
    std::uint64_t sequence = 0;     // The heartbeat's sequence number.
    bool awaits_plan = true;        // Whether no plan was made since the heartbeat arrived.
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
  std::map<std::string, PendingResponse> pending_;  // Held responses by machine id.
};

}  // namespace poppystile::coordination
