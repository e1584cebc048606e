/// \file
/// Places arrays, in four passes that the planner makes for each priority.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "planning/job_order.hpp"
#include "planning/plan_draft.hpp"
#include "planning/preemption.hpp"

namespace poppystile::planning {

/// Places the arrays of one plan. In each pass, `jobs` are taken in the order given.
class ArrayPlacement {
 public:
  ArrayPlacement(PlanDraft& draft, const JobOrder& order, Preemption& preemption)
      : draft_(draft), order_(order), preemption_(preemption) {}

  /// First pass: batches that LABL assigns. Jobs enter a batch until they could fill the free
  /// room; what a batch leaves free, because its tasks are better off waiting for a machine that
  /// has their image, goes to the next batch.
  void place_batches(const std::vector<const cluster::Job*>& jobs);

  /// Second pass: guaranteed work starts wherever there is room, also where it has to fetch, and
  /// only then takes room back from teams above their guarantee. Left to wait for the image, it
  /// would see the room that was freed for it go to others, and be freed again.
  void place_guaranteed(const std::vector<const cluster::Job*>& jobs);

  /// Third pass: LABL may leave a task to wait for one machine with the image while another has
  /// room. Such tasks start there now, since waiting gains nothing.
  void place_where_image_is(const std::vector<const cluster::Job*>& jobs);

  /// Last pass: one task of each array whose first task is overdue starts in any free room.
  void place_overdue_first_tasks(const std::vector<const cluster::Job*>& jobs);

 private:
  using TaskCounts = std::map<std::string, std::uint32_t>;  // by job

  /// Places one batch, and adds its tasks to `batched`. Returns false when no task was left.
  bool place_batch(const std::vector<const cluster::Job*>& jobs,
                   std::map<const cluster::Job*, std::uint32_t>& batched);
  /// Places one task on the machine with the least fetch time. False when it fits nowhere.
  bool place_anywhere(const protocol::JobSpec& job);
  /// Tasks of the job that neither run nor are in `placed`.
  static std::uint32_t count_unplaced(const cluster::Job& job, const TaskCounts& placed);

  PlanDraft& draft_;
  const JobOrder& order_;
  Preemption& preemption_;
};

}  // namespace poppystile::planning
