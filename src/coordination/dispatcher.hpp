// The leader's work: it keeps the model, answers workers, applies plans and writes records.
#pragma once

#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "bookkeeping/model.hpp"
#include "coordination/cloud_desk.hpp"
#include "coordination/directory.hpp"
#include "coordination/leadership.hpp"
#include "coordination/record_writer.hpp"
#include "coordination/user_desk.hpp"
#include "protocol/properties.hpp"
#include "protocol/worker_messages.hpp"

namespace poppystile::coordination {

class Dispatcher {
 public:
  Dispatcher(transport::Runtime& runtime, StateStore& store, Directory& directory,
             Leadership& leadership, CloudDesk& cloud, const protocol::Settings& settings,
             const protocol::Properties& properties);
  void start();

  // Answers a report as the leader; `may_answer` is false once a cut leader must fall silent.
  transport::HttpResponse report(const protocol::Report& report);
  TaskCounts counts(const std::string& job) const;
  std::vector<std::string> job_ids(std::size_t most) const;
  bool ready() const { return ready_; }

 private:
  // --- taking over ---
  void won();
  void lost();
  void load_records(std::uint64_t term);
  void build(const protocol::EntryPage& machines, const protocol::EntryPage& hires,
             const protocol::EntryPage& progress);
  void restore_progress(const protocol::EntryPage& progress);
  void restore_machine(const protocol::Entry& entry);

  // --- jobs ---
  void job_changed(const std::string& id);
  void add_job(const std::string& id, const KnownJob& known);
  void stop_all(const std::string& job);

  // --- reports ---
  bookkeeping::Machine* known_machine(const protocol::Report& report);
  void reconcile(bookkeeping::Machine& machine, const protocol::Report& report);
  void observe(bookkeeping::Machine& machine, bookkeeping::Placement& placement,
               const protocol::ReportedTask& seen);
  void exited(bookkeeping::Machine& machine, bookkeeping::Placement& placement,
              protocol::ExitCause cause);
  void failed(bookkeeping::Machine& machine, const bookkeeping::Placement& placement,
              protocol::ExitCause cause);
  std::vector<protocol::Command> commands_for(bookkeeping::Machine& machine,
                                              const protocol::Report& report);
  void end(bookkeeping::Machine& machine, bookkeeping::Placement& placement);
  void end_all(bookkeeping::Machine& machine, const std::string& why);

  // --- passes ---
  void tick();
  void watch_leases();
  void plan();
  void flush();
  void collect_jobs(std::vector<RecordChange>& out);
  void collect_progress(std::vector<RecordChange>& out);
  void collect_machines(std::vector<RecordChange>& out);
  void collect_hires(std::vector<RecordChange>& out);
  std::size_t room_left(const std::vector<RecordChange>& out) const;
  void close_job(const std::string& id, bookkeeping::Job& job, std::vector<RecordChange>& out);
  void machine_landed(const std::string& id, const std::set<std::uint64_t>& named,
                      std::uint64_t session, std::uint64_t version);
  void machine_removed(const std::string& id);
  void progress_landed(const std::string& id, std::uint32_t chunk, const std::vector<bool>& written,
                       std::uint64_t version);
  void release_task(const bookkeeping::Placement& placement);
  std::uint64_t next_attempt();

  transport::Runtime& runtime_;
  StateStore& store_;
  Directory& directory_;
  Leadership& leadership_;
  CloudDesk& cloud_;
  const protocol::Settings& settings_;
  const protocol::Properties& properties_;
  RecordWriter writer_;
  bookkeeping::Model model_;
  std::uint64_t term_ = 0;  // counts takeovers, to drop what belongs to an earlier one
  bool ready_ = false;
  double ready_s_ = 0;
  std::uint64_t attempts_ = 0;
  bool plan_due_ = false;
  double planned_s_ = 0;
  double flushed_s_ = 0;
  double leases_s_ = 0;
  std::string machine_cursor_;  // where the last pass over the machines stopped
};

}  // namespace poppystile::coordination
