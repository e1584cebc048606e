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

#include "bookkeeping/model.hpp"
#include "coordination/cloud_desk.hpp"
#include "coordination/gang_tracker.hpp"
#include "coordination/job_finalizer.hpp"
#include "coordination/journal_desk.hpp"
#include "coordination/leadership.hpp"
#include "protocol/settings.hpp"
#include "protocol/worker_messages.hpp"

namespace poppystile::coordination {

class ReportHandler {
 public:
  /// `request_plan` is called when tasks may be placed that could not be before.
  ReportHandler(transport::Runtime& runtime, bookkeeping::Model& model, Leadership& leadership,
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
  bookkeeping::Machine* known_machine(const protocol::Report& report);
  /// Takes in a report that is newer than all before it.
  void reconcile(bookkeeping::Machine& machine, const protocol::Report& report);
  /// Stops, and leave to forget what has exited.
  std::vector<protocol::Command> commands_for(bookkeeping::Machine& machine,
                                              const protocol::Report& report);
  /// Counts sessions that end without showing a start that was sent.
  void judge_session(bookkeeping::Machine& machine);
  /// Everything on the machine is proven to be gone.
  void end_all(bookkeeping::Machine& machine, const std::string& why);

  /// Stops the task; of a gang all of them together.
  void stop_task(bookkeeping::Placement& placement);
  /// Stops all tasks of a job that is cancelled.
  void stop_all(const std::string& job);
  /// Gives up gangs whose lost tasks were not replaced in time.
  void check_assembly(bookkeeping::Job& gang) { gangs_.check_assembly(gang, runtime_.now_s()); }

 private:
  void new_session(bookkeeping::Machine& machine, std::uint64_t session);
  void observe(bookkeeping::Machine& machine, bookkeeping::Placement& placement,
               const protocol::ReportedTask& seen);
  void judge_unshown(bookkeeping::Machine& machine, const protocol::Report& report);
  void exited(bookkeeping::Machine& machine, bookkeeping::Placement& placement,
              protocol::ExitCause cause);
  void gang_done(bookkeeping::Machine& machine, bookkeeping::Placement& placement,
                 bookkeeping::Job& gang);
  void failed(bookkeeping::Machine& machine, const bookkeeping::Placement& placement,
              protocol::ExitCause cause);
  /// Seconds that a task which is being stopped has to save; 0 where nothing can be saved.
  double stop_grace_s(const bookkeeping::Job* job) const;
  void suspect(bookkeeping::Machine& machine, const std::string& why);
  void note_image(bookkeeping::Machine& machine, const bookkeeping::Job& job);
  void end(bookkeeping::Machine& machine, bookkeeping::Placement& placement);
  static void drop_ended(bookkeeping::Machine& machine);

  transport::Runtime& runtime_;
  bookkeeping::Model& model_;
  Leadership& leadership_;
  JournalDesk& journal_;
  CloudDesk& cloud_;
  JobFinalizer& finalizer_;
  const protocol::Settings& settings_;
  GangTracker gangs_;
  std::function<void()> request_plan_;
};

}  // namespace poppystile::coordination
