/// \file
/// Reconciles the placements of a machine with the tasks that its heartbeat lists.
///
/// A placement is removed only on proof that the task is off its machine (docs/design.md,
/// "Safety"). The journal records its end before it can record a new placement of the task.
#pragma once

#include <functional>
#include <string>

#include "cluster/cluster_state.hpp"
#include "coordination/journal/journal_writer.hpp"
#include "coordination/leader/job_finalizer.hpp"
#include "coordination/leader/machine_health.hpp"
#include "protocol/settings.hpp"
#include "protocol/worker_messages.hpp"
#include "transport/event_loop.hpp"

namespace poppystile::coordination {

class TaskReconciler {
 public:
  /// `request_plan` is called when the next plan may place tasks that earlier plans could not.
  TaskReconciler(const transport::Runtime& runtime, cluster::ClusterState& cluster_state,
                 JournalWriter& journal, JobFinalizer& finalizer, const MachineHealth& health,
                 const protocol::Settings& settings, std::function<void()> request_plan);

  /// Applies the states of all tasks that the heartbeat lists, and removes the placements of tasks
  /// that it proves to be off the machine. The heartbeat must be newer than all processed before,
  /// and its token and incarnation must have been applied to `machine`.
  void reconcile(cluster::Machine& machine, const protocol::Heartbeat& heartbeat);

  /// Removes all placements of a machine on which no task can run any more, and requeues the tasks.
  /// Logs `reason`.
  void evict_all(cluster::Machine& machine, const std::string& reason);

 private:
  void reconcile_task(cluster::Machine& machine, cluster::Placement& placement,
                      const protocol::ReportedTask& reported);
  void change_phase(cluster::Machine& machine, cluster::Placement& placement, cluster::Job* job,
                    cluster::PlacementPhase phase);
  /// Whether a task has been running for more than twice the sum of the heartbeat interval and the
  /// longest failed run of its job; false if the job has no failures.
  bool has_outlived_failures(const cluster::Placement& placement, const cluster::Job& job) const;
  void on_exited(cluster::Machine& machine, cluster::Placement& placement,
                 protocol::ExitCause cause);
  void on_completed(cluster::Machine& machine, cluster::Placement& placement, cluster::Job& job);
  void expire_unacknowledged_starts(cluster::Machine& machine,
                                    const protocol::Heartbeat& heartbeat);
  void record_cached_image(cluster::Machine& machine, const cluster::Job& job);
  /// Marks the placement of a task that is proven to be off its machine as exited, and requeues the
  /// task unless it has finished. Does nothing if the placement is already marked. It stays in the
  /// machine's list until `erase_removed_placements`, so that callers may iterate over the list.
  void remove_placement(cluster::Machine& machine, cluster::Placement& placement);
  static void erase_removed_placements(cluster::Machine& machine);

  const transport::Runtime& runtime_;
  cluster::ClusterState& cluster_state_;
  JournalWriter& journal_;
  JobFinalizer& finalizer_;
  const MachineHealth& health_;
  const protocol::Settings& settings_;
  std::function<void()> request_plan_;
};

}  // namespace poppystile::coordination
