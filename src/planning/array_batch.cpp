#include "planning/array_batch.hpp"

#include <algorithm>
#include <map>
#include <string>
#include <tuple>
#include <utility>

#include "constants.hpp"
#include "planning/eligibility.hpp"
#include "planning/labl.hpp"
#include "planning/saturating_subtract.hpp"

namespace poppystile::planning {

using cluster::Job;
using protocol::JobSpec;

ArrayBatch::ArrayBatch(PlanDraft& draft, const JobOrder& order)
    : draft_(draft), order_(order), quotas_(draft.quotas()) {
  servers_.reserve(draft.slots().size());
  for (const auto& slot : draft.slots()) {
    servers_.push_back({slot.load.count()});
    free_cpus_ += std::max<std::int64_t>(0, slot.free.cpus);
  }
}

std::uint32_t ArrayBatch::add(const Job& job, std::uint32_t batched_tasks) {
  const JobSpec& spec = job.spec();
  const std::uint32_t max_tasks =
      std::min(task_limit(job, batched_tasks), quotas_.remaining_tasks(spec));
  if (max_tasks == 0) return 0;
  LablJob labl_job = make_labl_job(spec, max_tasks);
  const std::uint32_t added = labl_job.task_count;
  if (added == 0) return 0;
  quotas_.add(spec, added);
  free_cpus_ -= spec.task_resources.cpus * added;
  jobs_.push_back(std::move(labl_job));
  specs_.push_back(&spec);
  return added;
}

std::uint32_t ArrayBatch::task_limit(const Job& job, std::uint32_t batched_tasks) const {
  const std::uint32_t waiting_tasks = saturating_subtract(job.schedulable_tasks(), batched_tasks);
  if (!order_.is_starved(job)) return waiting_tasks;
  const std::uint32_t first_tasks = job.spec().tasks / constants::starved_array_divisor + 1;
  return std::min(waiting_tasks, saturating_subtract(first_tasks, batched_tasks));
}

LablJob ArrayBatch::make_labl_job(const JobSpec& job, std::uint32_t max_tasks) {
  LablJob labl_job;
  labl_job.local_cost.reserve(draft_.slots().size());
  labl_job.has_image.reserve(draft_.slots().size());
  std::int64_t free_tasks = 0;
  const std::string required_zone = job.one_zone ? choose_zone(job, max_tasks) : "";
  for (const auto& slot : draft_.slots()) {
    const auto concurrent_tasks = job.task_resources.times_in(slot.array_capacity);
    const bool is_allowed = concurrent_tasks > 0 && draft_.is_allowed(slot, job) &&
                            (required_zone.empty() || required_zone == slot.machine->zone);
    labl_job.local_cost.push_back(
        is_allowed ? expected_run_time(job).count() / static_cast<double>(concurrent_tasks) : 0);
    labl_job.has_image.push_back(is_allowed && slot.has_cached_or_is_fetching(job.image) ? 1 : 0);
    if (is_allowed) free_tasks += job.task_resources.times_in(slot.free);
  }
  labl_job.task_count = static_cast<std::uint32_t>(std::min<std::int64_t>(free_tasks, max_tasks));
  return labl_job;
}

// The zone with the most capacity may be occupied for long by tasks of other jobs. So what fits
// into the free resources decides, and the capacity only between zones that are equal in that.
std::string ArrayBatch::choose_zone(const JobSpec& job, std::uint32_t max_tasks) {
  struct ZoneCapacity {
    std::uint32_t free_tasks = 0;
    std::int64_t concurrent_tasks = 0;

    bool operator<(const ZoneCapacity& other) const {
      return std::tie(free_tasks, concurrent_tasks) <
             std::tie(other.free_tasks, other.concurrent_tasks);
    }
  };
  std::map<std::string, ZoneCapacity> capacity_by_zone;
  for (const auto& slot : draft_.slots()) {
    if (!draft_.is_allowed(slot, job)) continue;
    ZoneCapacity& capacity = capacity_by_zone[slot.machine->zone];
    capacity.free_tasks = std::min(capacity.free_tasks + slot.task_capacity(job), max_tasks);
    capacity.concurrent_tasks += job.task_resources.times_in(slot.array_capacity);
  }
  const auto best =
      std::max_element(capacity_by_zone.begin(), capacity_by_zone.end(),
                       [](const auto& a, const auto& b) { return a.second < b.second; });
  if (best == capacity_by_zone.end()) return "";
  draft_.record_zone_choice(job.id, {best->first, best->second.free_tasks});
  return best->first;
}

void ArrayBatch::place() {
  const LablPlan plan = plan_labl(std::move(jobs_), servers_, draft_.context().weights);
  for (const auto& assignment : plan.assignments) {
    const JobSpec& spec = *specs_[assignment.job];
    MachineSlot& slot = draft_.slots()[assignment.server];
    if (!draft_.fits(slot, spec) || draft_.quotas().remaining_tasks(spec) == 0) continue;
    const auto concurrent_tasks =
        std::max<std::int64_t>(1, spec.task_resources.times_in(slot.array_capacity));
    slot.load += expected_run_time(spec) / static_cast<double>(concurrent_tasks);
    draft_.place(slot, spec);
  }
}

}  // namespace poppystile::planning
