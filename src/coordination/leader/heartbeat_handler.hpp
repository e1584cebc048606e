/// \file
/// What workers' reports say about machines and tasks, and the commands that answer them. Starts
/// are not among those: the dispatcher adds them when an answer is sent.
///
/// A placement ends only on proof that the task is off its machine (docs/design.md, "Safety"); the
/// journal then says so before it can name another place.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "cluster/cluster_state.hpp"
#include "coordination/election/leader_election.hpp"
#include "coordination/fleet/fleet_manager.hpp"
#include "coordination/journal/journal_writer.hpp"
#include "coordination/leader/gang_tracker.hpp"
#include "coordination/leader/job_finalizer.hpp"
#include "protocol/settings.hpp"
#include "protocol/worker_messages.hpp"

namespace poppystile::coordination {

class HeartbeatHandler {
 public:
  /// `request_plan` is called when tasks may be placed that could not be before.
  HeartbeatHandler(transport::Runtime& runtime, cluster::ClusterState& cluster_state,
                   LeaderElection& election, JournalWriter& journal, FleetManager& fleet,
                   JobFinalizer& finalizer, const protocol::Settings& settings,
                   std::function<void()> request_plan)
      : runtime_(runtime),
        cluster_state_(cluster_state),
        election_(election),
        journal_(journal),
        fleet_(fleet),
        finalizer_(finalizer),
        settings_(settings),
        gangs_(settings),
        request_plan_(std::move(request_plan)) {}

  /// The machine that sent the report, taken in if it may be; null if not.
  cluster::Machine* find_or_adopt_machine(const protocol::Heartbeat& heartbeat);
  /// Takes in a report that is newer than all before it.
  void reconcile(cluster::Machine& machine, const protocol::Heartbeat& heartbeat);
  /// Stops, and leave to forget what has exited.
  std::vector<protocol::Command> commands_for(cluster::Machine& machine,
                                              const protocol::Heartbeat& heartbeat);
  /// Counts sessions that end without showing a start that was sent.
  void evaluate_incarnation(cluster::Machine& machine);
  /// Everything on the machine is proven to be gone.
  void evict_all(cluster::Machine& machine, const std::string& why);

  /// Stops the task; of a gang all of them together.
  void stop_task(cluster::Placement& placement);
  /// Stops all tasks of a job that is cancelled.
  void stop_job(const std::string& job);
  /// Gives up gangs whose lost tasks were not replaced in time.
  void check_assembly(cluster::Job& gang) { gangs_.check_assembly(gang, runtime_.now()); }

 private:
  void begin_incarnation(cluster::Machine& machine, std::uint64_t incarnation);
  void reconcile_task(cluster::Machine& machine, cluster::Placement& placement,
                      const protocol::ReportedTask& seen);
  void expire_unacknowledged_starts(cluster::Machine& machine,
                                    const protocol::Heartbeat& heartbeat);
  void on_exited(cluster::Machine& machine, cluster::Placement& placement,
                 protocol::ExitCause cause);
  void finish_gang(cluster::Machine& machine, cluster::Placement& placement, cluster::Job& gang);
  void on_failed(cluster::Machine& machine, const cluster::Placement& placement,
                 protocol::ExitCause cause);
  /// Seconds that a task which is being stopped has to save; 0 where nothing can be saved.
  Seconds stop_grace(const cluster::Job* job) const;
  void mark_unresponsive(cluster::Machine& machine, const std::string& why);
  void record_cached_image(cluster::Machine& machine, const cluster::Job& job);
  void remove_placement(cluster::Machine& machine, cluster::Placement& placement);
  static void erase_removed_placements(cluster::Machine& machine);

  transport::Runtime& runtime_;
  cluster::ClusterState& cluster_state_;
  LeaderElection& election_;
  JournalWriter& journal_;
  FleetManager& fleet_;
  JobFinalizer& finalizer_;
  const protocol::Settings& settings_;
  GangTracker gangs_;
  std::function<void()> request_plan_;
};

}  // namespace poppystile::coordination
