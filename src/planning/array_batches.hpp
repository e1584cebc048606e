/// \file
/// Places arrays: merged batches planned as a whole by LABL, then what the bound left behind.
#pragma once

#include <map>
#include <vector>

#include "planning/job_order.hpp"
#include "planning/plan_draft.hpp"
#include "planning/preemption.hpp"

namespace poppystile::planning {

class ArrayBatches {
 public:
  ArrayBatches(PlanDraft& draft, const JobOrder& order, Preemption& preemption)
      : draft_(draft), order_(order), preemption_(preemption) {}

  /// Jobs enter a batch in their order until they could fill the room that there is. What a batch
  /// leaves free, because its tasks are better off waiting for a holder, goes to a batch of those
  /// that come next.
  void place(const std::vector<const cluster::Job*>& jobs);
  /// Guaranteed work starts wherever there is room, also where it has to fetch; only then is room
  /// taken back from teams that borrow. Were it left to wait for a holder, others would take the
  /// room that was freed for it, and lose it again.
  void claim_guarantees(const std::vector<const cluster::Job*>& jobs);
  /// The plan may leave a task to wait for a full holder where another holder has room: it starts
  /// there now, for nothing is gained by waiting.
  void fill_holders(const std::vector<const cluster::Job*>& jobs);

  /// Jobs that have waited long begin in whatever room is left: a bound that keeps their tasks
  /// waiting for a holder, or a queue before them, must not keep them waiting beside room.
  void begin_overdue(const std::vector<const cluster::Job*>& jobs);

 private:
  /// One batch; `entered` counts tasks in earlier batches of this plan. False when no job entered.
  bool place_batch(const std::vector<const cluster::Job*>& jobs,
                   std::map<const cluster::Job*, std::uint32_t>& entered);
  LablJob labl_job(const cluster::Job& job, std::uint32_t entered);
  void apply(const LablPlan& plan, const std::vector<const protocol::JobSpec*>& specs);
  bool place_anywhere(const protocol::JobSpec& job);
  /// The zone with the most room, for a job that must stay together and is nowhere yet.
  std::string choose_zone(const protocol::JobSpec& job);

  PlanDraft& draft_;
  const JobOrder& order_;
  Preemption& preemption_;
};

}  // namespace poppystile::planning
