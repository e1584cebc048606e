/// \file
/// A job that is not over yet, and where its tasks are.
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
  waiting,  // on no machine, and the journal says so
  placed,   // the journal names its machine, or is about to
  finished  // exited with done; durable once the journal is written that far
};

struct Job {
  JobRecord record;
  std::uint64_t version = 0;  // of the job's record, for conditional changes

  std::vector<TaskPhase> phases;                           // of each task
  std::uint32_t next_unplaced = 0;                         // tasks from here on were never placed
  std::vector<std::uint32_t> requeued;                     // tasks that came back from a machine
  std::unordered_map<std::uint32_t, Machine*> placements;  // of the placed tasks
  std::uint32_t finished = 0;                              // tasks
  std::uint32_t running = 0;                               // tasks

  SteadyTime retry_at;              // failed tasks wait until then
  Seconds retry_pause{0};           // above 0: it fails wherever it runs
  std::set<std::string> failed_on;  // machines, since it last ran well
  Seconds longest_failed_run{0};    // the longest run that has failed since

  GangAttempt gang;  // of a gang only

  const JobSpec& spec() const { return record.spec; }
  bool is_gang() const { return spec().kind == JobKind::gang; }
  bool is_task_finished(std::uint32_t index) const { return phases[index] == TaskPhase::finished; }
  bool all_finished() const { return finished == spec().tasks; }

  /// Tasks that are neither placed nor finished.
  std::uint32_t waiting() const {
    return spec().tasks - static_cast<std::uint32_t>(placements.size()) - finished;
  }

  /// Waiting tasks that may be placed now: a few while every task fails; of a gang all of them, or
  /// those to be replaced.
  std::uint32_t schedulable_tasks() const;

  /// Forgets the failures so far, because a task of the job has run well.
  void reset_failures();

  /// Marks the next waiting task as placed on the machine and returns its index. One must be
  /// waiting.
  std::uint32_t take_waiting(Machine& machine);

  /// The task is off its machine and waits again.
  void requeue(std::uint32_t index);

  /// The task has finished; it may have been placed or waiting.
  void finish(std::uint32_t index);

  /// Finishes every task that has not finished yet: the tasks of a gang complete together.
  void finish_all();
  /// Whether a gang that lost tasks before it began may have them replaced: it was placed no longer
  /// than `max_wait` ago, every machine that holds one of its tasks has reported since the loss,
  /// and none of the tasks runs.
  bool may_replace_tasks(SteadyTime now, Seconds max_wait) const;

  /// Calls `action` with each placement of the job that has not exited.
  void for_each_placement(const std::function<void(Placement&)>& action);
};

}  // namespace poppystile::cluster
