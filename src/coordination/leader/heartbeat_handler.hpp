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

class ReportHandler {
 public:
  /// `request_plan` is called when tasks may be placed that could not be before.
  ReportHandler(transport::Runtime& runtime, cluster::Model& model, Leadership& leadership,
                JournalDesk& journal, CloudDesk& cloud, JobFinalizer& finalizer,
                const protocol::Settings& settings, std::function<void()> request_plan)
      : runtime_(runtime),
        model_(model),
        leadership_(leadership),
        journal_(journal),
        cloud_(cloud),
        finalizer_(finalizer),
        settings_(settings),
        gangs_(settings),
        request_plan_(std::move(request_plan)) {}

  /// The machine that sent the report, taken in if it may be; null if not.
  cluster::Machine* known_machine(const protocol::Report& report);
  /// Takes in a report that is newer than all before it.
  void reconcile(cluster::Machine& machine, const protocol::Report& report);
  /// Stops, and leave to forget what has exited.
  std::vector<protocol::Command> commands_for(cluster::Machine& machine,
                                              const protocol::Report& report);
  /// Counts sessions that end without showing a start that was sent.
  void judge_session(cluster::Machine& machine);
  /// Everything on the machine is proven to be gone.
  void end_all(cluster::Machine& machine, const std::string& why);

  /// Stops the task; of a gang all of them together.
  void stop_task(cluster::Placement& placement);
  /// Stops all tasks of a job that is cancelled.
  void stop_all(const std::string& job);
  /// Gives up gangs whose lost tasks were not replaced in time.
  void check_assembly(cluster::Job& gang) { gangs_.check_assembly(gang, runtime_.now_s()); }

 private:
  void new_session(cluster::Machine& machine, std::uint64_t session);
  void observe(cluster::Machine& machine, cluster::Placement& placement,
               const protocol::ReportedTask& seen);
  void judge_unshown(cluster::Machine& machine, const protocol::Report& report);
  void exited(cluster::Machine& machine, cluster::Placement& placement, protocol::ExitCause cause);
  void gang_done(cluster::Machine& machine, cluster::Placement& placement, cluster::Job& gang);
  void failed(cluster::Machine& machine, const cluster::Placement& placement,
              protocol::ExitCause cause);
  /// Seconds that a task which is being stopped has to save; 0 where nothing can be saved.
  double stop_grace_s(const cluster::Job* job) const;
  void suspect(cluster::Machine& machine, const std::string& why);
  void note_image(cluster::Machine& machine, const cluster::Job& job);
  void end(cluster::Machine& machine, cluster::Placement& placement);
  static void drop_ended(cluster::Machine& machine);

  transport::Runtime& runtime_;
  cluster::Model& model_;
  Leadership& leadership_;
  JournalDesk& journal_;
  CloudDesk& cloud_;
  JobFinalizer& finalizer_;
  const protocol::Settings& settings_;
  GangTracker gangs_;
  std::function<void()> request_plan_;
};

}  // namespace poppystile::coordination
