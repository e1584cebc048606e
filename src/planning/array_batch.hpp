/// \file
/// A batch of tasks of several arrays, which LABL assigns to machines in one run.
#pragma once

#include <cstdint>
#include <vector>

#include "planning/job_order.hpp"
#include "planning/plan_draft.hpp"

namespace poppystile::planning {

/// Collects waiting tasks job by job, and places them on the machines of a draft.
class ArrayBatch {
 public:
  /// Both arguments must outlive the batch.
  ArrayBatch(PlanDraft& draft, const JobOrder& order);

  /// Whether the tasks of the batch need all CPUs that were free when the batch was made.
  bool is_full() const { return free_cpus_ <= 0; }
  bool is_empty() const { return jobs_.empty(); }

  /// Adds as many of the job's waiting tasks as the team's quota and the free resources allow. Of a
  /// starved array, all batches of a plan together take at most 1 + its tasks /
  /// `constants::starved_array_divisor`. `batched_tasks` of the job were added to earlier batches
  /// of this plan and are not added again. Returns the number of tasks added.
  std::uint32_t add(const cluster::Job& job, std::uint32_t batched_tasks);

  /// Assigns the tasks to machines by LABL, and places those that fit on their machine and into
  /// their team's quota. May be called only once.
  void place();

 private:
  /// The job as input of LABL, with as many tasks, up to `max_tasks`, as fit into the free
  /// resources of all machines that may run it.
  LablJob make_labl_job(const protocol::JobSpec& job, std::uint32_t max_tasks);
  /// The number of the job's tasks that may be added besides `batched_tasks` in earlier batches,
  /// without regard to quotas and free resources.
  std::uint32_t task_limit(const cluster::Job& job, std::uint32_t batched_tasks) const;
  /// For a job whose tasks must all be in one zone: the zone in which the most of up to `max_tasks`
  /// tasks fit into free resources and, among equals, the one that can run the most of the job's
  /// tasks at once beside its services. Empty when no machine may run the job.
  std::string choose_zone(const protocol::JobSpec& job, std::uint32_t max_tasks);

  PlanDraft& draft_;
  const JobOrder& order_;
  TeamQuotas quotas_;           // copy of the draft's quotas that includes the tasks of the batch
  std::int64_t free_cpus_ = 0;  // thousandths of a CPU that are free and not needed by the batch
  std::vector<LablServer> servers_;  // one element for each slot of the draft
  std::vector<LablJob> jobs_;
  std::vector<const protocol::JobSpec*> specs_;  // one element for each of `jobs_`
};

}  // namespace poppystile::planning
