/// \file
/// Judges machines by their heartbeats and their tasks' failures: which seem not to receive our
/// responses, which are avoided for a while, and which are put in quarantine.
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

  /// Notes that the machine sends heartbeats but seems not to receive our responses: it gets no new
  /// tasks until `evaluate_responsiveness` finds that it does. Does nothing if that is known.
  void mark_unresponsive(cluster::Machine& machine, const std::string& why) const;

  /// Takes a heartbeat as evidence that responses arrive: an incarnation that outlasts a lease must
  /// have received some. Called for each heartbeat, after its token and incarnation were taken in.
  void evaluate_responsiveness(cluster::Machine& machine) const;

  /// Counts incarnations that end without having reported any start that was sent. Called before
  /// the placements of the incarnation are removed.
  void evaluate_incarnation(cluster::Machine& machine) const;

  /// Blames the machine or the job for a task that exited without completing. A machine that fails
  /// several jobs is faulty; a job that fails on several machines has a fault of its own, and is
  /// retried after a growing pause. Does nothing if the cause is neither's fault.
  /// `placement` must not have been removed yet.
  void record_failure(cluster::Machine& machine, const cluster::Placement& placement,
                      protocol::ExitCause cause) const;

  /// A task completed on the machine: earlier failures do not count any more.
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
