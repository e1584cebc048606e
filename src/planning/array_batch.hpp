/// \file
/// Tasks of several arrays that LABL assigns together.
#pragma once

#include <cstdint>
#include <vector>

#include "planning/job_order.hpp"
#include "planning/plan_draft.hpp"

namespace poppystile::planning {

/// Collects tasks, in the order of their jobs, and places them.
class ArrayBatch {
 public:
  ArrayBatch(PlanDraft& draft, const JobOrder& order);

  /// Whether the tasks in the batch could fill all free CPUs.
  bool is_full() const { return free_cpus_ <= 0; }
  bool is_empty() const { return jobs_.empty(); }

  /// Adds as many of the job's waiting tasks as the team's quota and the free room allow, besides
  /// `batched_tasks` that were in earlier batches of this plan. Returns how many were added.
  std::uint32_t add(const cluster::Job& job, std::uint32_t batched_tasks);

  /// Assigns the batch by LABL, and places what still fits. To be called once.
  void place();

 private:
  LablJob make_labl_job(const protocol::JobSpec& job);
  std::uint32_t task_limit(const cluster::Job& job, std::uint32_t batched_tasks) const;
  /// The zone with the most room for a job whose tasks must all be in one; empty without any.
  std::string choose_zone(const protocol::JobSpec& job);

  PlanDraft& draft_;
  const JobOrder& order_;
  TeamQuotas quotas_;  // the draft's, with the tasks of the batch
  std::int64_t free_cpus_ = 0;
  std::vector<LablServer> servers_;  // one for each slot of the draft
  std::vector<LablJob> jobs_;
  std::vector<const protocol::JobSpec*> specs_;  // of `jobs_`
};

}  // namespace poppystile::planning
