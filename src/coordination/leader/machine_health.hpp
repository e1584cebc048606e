/// \file
/// Assesses machines by their heartbeats and task failures: which of them seem not to receive this
/// leader's responses, which are avoided for some time, and which are quarantined.
#pragma once

#include <string>

#include "cluster/cluster_state.hpp"
#include "coordination/leader/task_stopper.hpp"
#include "protocol/settings.hpp"
#include "protocol/worker_messages.hpp"
#include "transport/event_loop.hpp"

namespace poppystile::coordination {

class MachineHealth {
 public:
  MachineHealth(const transport::Runtime& runtime, cluster::ClusterState& cluster_state,
                const TaskStopper& stopper, const protocol::Settings& settings)
      : runtime_(runtime), cluster_state_(cluster_state), stopper_(stopper), settings_(settings) {}

  /// Marks a machine that sends heartbeats but seems not to receive this leader's responses: it
  /// gets no new tasks until `evaluate_responsiveness` removes the mark. Logs `reason`. Does
  /// nothing if the machine is already marked.
  void mark_unresponsive(cluster::Machine& machine, const std::string& reason) const;

  /// Removes the mark if the machine's heartbeats prove that responses arrive: an incarnation that
  /// outlasts a lease must have received some. Must be called for each heartbeat, after its token
  /// and incarnation have been applied to `machine`.
  void evaluate_responsiveness(cluster::Machine& machine) const;

  /// Counts the successive incarnations that end without having reported any task whose start was
  /// sent; marks the machine as unresponsive at `max_unacknowledged_starts` of them. Must be called
  /// before the placements of the incarnation are removed.
  void evaluate_incarnation(cluster::Machine& machine) const;

  /// Attributes a task's exit without completion to the machine or to the job. A machine on which
  /// several jobs fail is faulty; a job that fails on several machines is faulty itself, and is
  /// retried after an increasing pause. Does nothing if the cause is a fault of neither.
  /// `placement` must not have been removed yet.
  void record_failure(cluster::Machine& machine, const cluster::Placement& placement,
                      protocol::ExitCause cause) const;

  /// Clears the failures counted so far, because a task completed on the machine.
  static void reset_failures(cluster::Machine& machine);

 private:
  static bool is_job_at_fault(const cluster::Job& job, protocol::ExitCause cause);
  void delay_retry(const std::string& id, cluster::Job& job) const;
  void record_machine_failure(cluster::Machine& machine, const std::string& job) const;

  const transport::Runtime& runtime_;
  cluster::ClusterState& cluster_state_;
  const TaskStopper& stopper_;
  const protocol::Settings& settings_;
};

}  // namespace poppystile::coordination
