/// \file
/// Places the tasks of arrays, in four passes that the planner makes for each priority.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "planning/job_order.hpp"
#include "planning/plan_draft.hpp"
#include "planning/preemption.hpp"

namespace poppystile::planning {

/// Places the arrays of one plan. Each pass processes `jobs` in the order given.
class ArrayPlacement {
 public:
  /// All arguments must outlive this object.
  ArrayPlacement(PlanDraft& draft, const JobOrder& order, Preemption& preemption)
      : draft_(draft), order_(order), preemption_(preemption) {}

  /// First pass: up to `constants::max_array_batches` batches, each assigned by LABL. Jobs are
  /// added to a batch until their tasks need all free CPUs. LABL may assign tasks to busy machines
  /// that have their image; the next batch uses the resources that this leaves free.
  void place_batches(const std::vector<const cluster::Job*>& jobs);

  /// Second pass: tasks of guaranteed jobs are placed on any machine where they fit, even if the
  /// image has to be fetched; only for tasks that fit nowhere is other work preempted, such as that
  /// of teams above their guarantee. If these tasks waited for a machine with their image, other
  /// jobs would take the resources freed for them, and more work would be preempted.
  void place_guaranteed(const std::vector<const cluster::Job*>& jobs);

  /// Third pass: LABL may assign a task to a busy machine with its image although the task fits on
  /// another machine with the image. Such tasks are placed there, since waiting gains nothing.
  void place_on_machines_with_image(const std::vector<const cluster::Job*>& jobs);

  /// Last pass: one task of each array whose first task is overdue is placed on any machine where
  /// it fits, unless this plan has placed a task of the array.
  void place_overdue_first_tasks(const std::vector<const cluster::Job*>& jobs);

 private:
  using TaskCounts = std::map<std::string, std::uint32_t>;  // by job id

  /// Places one batch. `batched_by_job` holds the number of each job's tasks in the earlier batches
  /// of this plan; the tasks of this batch are added. Returns false if the batch has no tasks.
  bool place_batch(const std::vector<const cluster::Job*>& jobs,
                   std::map<const cluster::Job*, std::uint32_t>& batched_by_job);
  /// Places one task on the machine with the least fetch time among those where it fits. Returns
  /// false when there is none.
  bool place_with_least_fetch_time(const protocol::JobSpec& job);
  /// Number of the job's schedulable tasks that are not in `placed_by_job`, the placements of this
  /// plan.
  static std::uint32_t count_unplaced(const cluster::Job& job, const TaskCounts& placed_by_job);

  PlanDraft& draft_;
  const JobOrder& order_;
  Preemption& preemption_;
};

}  // namespace poppystile::planning
