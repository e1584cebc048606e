#include "planning/array_placement.hpp"

#include <algorithm>

#include "constants.hpp"
#include "planning/array_batch.hpp"
#include "planning/saturating_subtract.hpp"

namespace poppystile::planning {

using cluster::Job;
using protocol::JobSpec;

void ArrayPlacement::place_batches(const std::vector<const Job*>& jobs) {
  std::map<const Job*, std::uint32_t> batched_by_job;
  for (int count = 0; count < constants::max_array_batches; ++count)
    if (!place_batch(jobs, batched_by_job)) return;
}

bool ArrayPlacement::place_batch(const std::vector<const Job*>& jobs,
                                 std::map<const Job*, std::uint32_t>& batched_by_job) {
  ArrayBatch batch(draft_, order_);
  for (const Job* job : jobs) {
    if (batch.is_full()) break;
    std::uint32_t& batched_tasks = batched_by_job[job];
    batched_tasks += batch.add(*job, batched_tasks);
  }
  if (batch.is_empty()) return false;
  batch.place();
  return true;
}

void ArrayPlacement::place_guaranteed(const std::vector<const Job*>& jobs) {
  const TaskCounts placed_by_job = draft_.count_placements_by_job();
  for (const Job* job : jobs) {
    if (!order_.is_guaranteed(*job)) continue;
    const JobSpec& spec = job->spec();
    std::uint32_t remaining =
        std::min(count_unplaced(*job, placed_by_job), draft_.quotas().remaining_tasks(spec));
    while (remaining > 0 && place_with_least_fetch_time(spec)) --remaining;
    while (remaining > 0 && preemption_.reserve_for_task(*job)) --remaining;
  }
}

void ArrayPlacement::place_on_machines_with_image(const std::vector<const Job*>& jobs) {
  std::vector<MachineSlot*> slots_with_free_cpus;
  for (auto& slot : draft_.slots())
    if (slot.free.cpus > 0) slots_with_free_cpus.push_back(&slot);
  const TaskCounts placed_by_job = draft_.count_placements_by_job();
  for (const Job* job : jobs) {
    const JobSpec& spec = job->spec();
    std::uint32_t remaining = count_unplaced(*job, placed_by_job);
    for (MachineSlot* slot : slots_with_free_cpus)
      for (; remaining > 0 && slot->has_cached_or_is_fetching(spec.image) &&
             draft_.fits(*slot, spec) && draft_.quotas().remaining_tasks(spec) > 0;
           --remaining)
        draft_.place(*slot, spec);
  }
}

void ArrayPlacement::place_overdue_first_tasks(const std::vector<const Job*>& jobs) {
  const TaskCounts placed_by_job = draft_.count_placements_by_job();
  for (const Job* job : jobs)
    if (order_.is_first_task_overdue(*job) && !placed_by_job.contains(job->spec().id) &&
        draft_.quotas().remaining_tasks(job->spec()) > 0)
      place_with_least_fetch_time(job->spec());
}

bool ArrayPlacement::place_with_least_fetch_time(const JobSpec& job) {
  MachineSlot* best = nullptr;
  double least_fetch_time_s = 0;
  for (auto& slot : draft_.slots()) {
    if (!draft_.fits(slot, job)) continue;
    const double fetch_time_s =
        slot.has_cached_or_is_fetching(job.image) ? 0 : job.image_gb / slot.machine->fetch_gb_per_s;
    if (best != nullptr && fetch_time_s >= least_fetch_time_s) continue;
    best = &slot;
    least_fetch_time_s = fetch_time_s;
  }
  if (best == nullptr) return false;
  draft_.place(*best, job);
  return true;
}

std::uint32_t ArrayPlacement::count_unplaced(const Job& job, const TaskCounts& placed_by_job) {
  const auto found = placed_by_job.find(job.spec().id);
  const std::uint32_t placed_tasks = found == placed_by_job.end() ? 0 : found->second;
  return saturating_subtract(job.schedulable_tasks(), placed_tasks);
}

}  // namespace poppystile::planning
