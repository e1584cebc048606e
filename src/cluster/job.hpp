/// \file
/// A job without a final state, and the placements of its tasks.
#pragma once

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "clock.hpp"
#include "cluster/gang_attempt.hpp"
#include "cluster/placement.hpp"
#include "storage/records.hpp"

namespace poppystile::cluster {

using protocol::JobKind;
using protocol::JobSpec;
using storage::JobRecord;

struct Machine;

enum class TaskPhase : std::uint8_t {
  waiting,  // On no machine; a placement that ended is recorded in the journal as ended.
  placed,   // On a machine; the placement is appended to the journal, but may not be durable yet.
  finished  // Exited with `done`; the journal entry for it may not be durable yet.
};

struct Job {
  JobRecord record;
  std::uint64_t version = 0;  // Version of the stored record, for conditional changes.

  std::vector<TaskPhase> phases;        // By task index.
  std::uint32_t next_unplaced = 0;      // Waiting tasks below this are in `requeued`.
  std::vector<std::uint32_t> requeued;  // Waiting tasks that had been placed.
  std::unordered_map<std::uint32_t, Machine*> placements;  // Machine of each placed task, by index.
  std::uint32_t finished = 0;                              // Number of finished tasks.
  std::uint32_t running = 0;                               // Number of running tasks.

  SteadyTime retry_at;                    // No task is placed before this time.
  Seconds retry_pause{0};                 // Above 0 while the job fails on every machine.
  std::set<std::string> failed_machines;  // Machines on which a task failed since `reset_failures`.
  Seconds longest_failed_run{0};          // Longest run of a failed task since `reset_failures`.

  GangAttempt gang;  // Used only for gangs.

  const JobSpec& spec() const { return record.spec; }
  bool is_gang() const { return spec().kind == JobKind::gang; }
  bool is_task_finished(std::uint32_t index) const { return phases[index] == TaskPhase::finished; }
  bool all_finished() const { return finished == spec().tasks; }

  /// Tasks that are neither placed nor finished.
  std::uint32_t waiting() const {
    return spec().tasks - static_cast<std::uint32_t>(placements.size()) - finished;
  }

  /// The number of waiting tasks that may be placed now. For a gang: all waiting tasks, or 0 when
  /// its attempt can no longer replace tasks. For other jobs: all waiting tasks, but while the job
  /// fails on every machine only so many that at most `max_retrying_tasks` are placed.
  std::uint32_t schedulable_tasks() const;

  /// Clears the recorded failures. Called when a task of the job has finished, or has run for
  /// more than twice `longest_failed_run`.
  void reset_failures();

  /// Marks the next waiting task as placed on the machine and returns its index. At least one task
  /// must be waiting.
  std::uint32_t place_next_waiting_task(Machine& machine);

  /// Marks a task that has left its machine as waiting.
  void requeue(std::uint32_t index);

  /// Marks a task as finished; it must be placed or waiting.
  void finish(std::uint32_t index);

  /// Marks all remaining tasks as finished: the tasks of a gang complete together.
  void finish_all();

  /// Whether lost tasks of a gang may be replaced: its attempt is still assembling and was placed
  /// at most `max_wait` ago, and every machine with one of its tasks has sent a heartbeat since the
  /// latest loss.
  bool may_replace_tasks(SteadyTime now, Seconds max_wait) const;

  /// Calls `action` with each placement of the job that has not exited.
  void for_each_placement(const std::function<void(Placement&)>& action);
};

}  // namespace poppystile::cluster
