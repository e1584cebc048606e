#include "planning/array_batches.hpp"

#include <algorithm>

#include "constants.hpp"

namespace poppystile::planning {

using cluster::Job;
using protocol::JobSpec;
using protocol::Resources;

namespace {

// Tasks of the job that neither run nor are in this plan.
std::uint32_t unplaced(const Job& job, const std::map<std::string, std::uint32_t>& placed) {
  const auto found = placed.find(job.spec().id);
  const std::uint32_t planned = found == placed.end() ? 0 : found->second;
  return job.schedulable_tasks() - std::min(job.schedulable_tasks(), planned);
}

}  // namespace

void ArrayBatches::place(const std::vector<const Job*>& jobs) {
  std::map<const Job*, std::uint32_t> entered;
  for (int round = 0; round < constants::max_batches; ++round)
    if (!place_batch(jobs, entered)) return;
}

bool ArrayBatches::place_batch(const std::vector<const Job*>& batch,
                               std::map<const Job*, std::uint32_t>& entered) {
  std::int64_t free_cpus = 0;
  std::vector<LablServer> servers;
  for (const auto& slot : draft_.slots()) {
    servers.push_back({slot.load.count()});
    free_cpus += std::max<std::int64_t>(0, slot.room.cpus);
  }
  std::vector<LablJob> jobs;
  std::vector<const JobSpec*> specs;
  const auto use_before = draft_.team_use();
  for (const Job* job : batch) {
    if (free_cpus <= 0) break;
    LablJob next = labl_job(*job, entered[job]);
    if (next.count == 0) continue;
    entered[job] += next.count;
    free_cpus -= job->spec().each.cpus * next.count;
    jobs.push_back(std::move(next));
    specs.push_back(&job->spec());
  }
  draft_.team_use() = use_before;
  if (jobs.empty()) return false;
  apply(plan_labl(std::move(jobs), servers, draft_.context().weights), specs);
  return true;
}

void ArrayBatches::apply(const LablPlan& plan, const std::vector<const JobSpec*>& specs) {
  for (const auto& each : plan.assignments) {
    const JobSpec& spec = *specs[each.job];
    MachineSlot& slot = draft_.slots()[each.server];
    if (!draft_.fits(slot, spec) || draft_.team_room(spec) == 0) continue;
    const auto abreast = std::max<std::int64_t>(1, spec.each.times_in(slot.for_arrays));
    slot.load += expected_run_time(spec) / static_cast<double>(abreast);
    draft_.commit(slot, spec);
  }
}

LablJob ArrayBatches::labl_job(const Job& job, std::uint32_t entered) {
  const JobSpec& spec = job.spec();
  LablJob out;
  std::int64_t abreast_now = 0;
  const std::string only = spec.one_zone ? choose_zone(spec) : "";
  for (const auto& slot : draft_.slots()) {
    const auto abreast = spec.each.times_in(slot.for_arrays);
    const bool allowed = abreast > 0 && may_run_on(spec, *slot.machine) &&
                         draft_.zone_allows(spec, slot.machine->zone) &&
                         (only.empty() || only == slot.machine->zone);
    out.unit.push_back(allowed ? expected_run_time(spec).count() / static_cast<double>(abreast)
                               : 0);
    out.holder.push_back(allowed && slot.holds(spec.image) ? 1 : 0);
    if (allowed) abreast_now += spec.each.times_in(slot.room);
  }
  // Jobs enter by their order within their team's limit.
  const auto most =
      static_cast<std::uint32_t>(std::min<std::int64_t>(abreast_now, constants::max_tasks));
  out.count = std::min({job.schedulable_tasks() - std::min(job.schedulable_tasks(), entered),
                        draft_.team_room(spec), most});
  if (order_.is_starved(job)) {
    const std::uint32_t part = spec.tasks / constants::starved_part + 1;
    out.count = std::min(out.count, part - std::min(part, entered));
  }
  const std::int64_t count = out.count;
  draft_.team_use()[spec.team] +=
      Resources{spec.each.cpus * count, spec.each.gpus * count, spec.each.memory * count};
  return out;
}

void ArrayBatches::claim_guarantees(const std::vector<const Job*>& jobs) {
  const auto placed = draft_.placed_by_job();
  for (const Job* job : jobs) {
    if (!order_.is_guaranteed(*job)) continue;
    const JobSpec& spec = job->spec();
    std::uint32_t left = std::min(unplaced(*job, placed), draft_.team_room(spec));
    while (left > 0 && place_anywhere(spec)) --left;
    while (left > 0 && preemption_.make_room(*job)) --left;
  }
}

bool ArrayBatches::place_anywhere(const JobSpec& job) {
  MachineSlot* best = nullptr;
  double least = 0;
  for (auto& slot : draft_.slots()) {
    if (!draft_.fits(slot, job)) continue;
    const double fetch = slot.holds(job.image) ? 0 : job.image_gb / slot.machine->fetch_gb_per_s;
    if (best != nullptr && fetch >= least) continue;
    best = &slot;
    least = fetch;
  }
  if (best == nullptr) return false;
  draft_.commit(*best, job);
  return true;
}

void ArrayBatches::fill_holders(const std::vector<const Job*>& jobs) {
  std::vector<MachineSlot*> roomy;
  for (auto& slot : draft_.slots())
    if (slot.room.cpus > 0) roomy.push_back(&slot);
  const auto placed = draft_.placed_by_job();
  for (const Job* job : jobs) {
    const JobSpec& spec = job->spec();
    std::uint32_t left = unplaced(*job, placed);
    for (MachineSlot* slot : roomy)
      for (; left > 0 && slot->holds(spec.image) && draft_.fits(*slot, spec) &&
             draft_.team_room(spec) > 0;
           --left)
        draft_.commit(*slot, spec);
  }
}

void ArrayBatches::begin_overdue(const std::vector<const Job*>& jobs) {
  const auto placed = draft_.placed_by_job();
  for (const Job* job : jobs)
    if (order_.must_begin(*job) && !placed.contains(job->spec().id) &&
        draft_.team_room(job->spec()) > 0)
      place_anywhere(job->spec());
}

std::string ArrayBatches::choose_zone(const JobSpec& job) {
  std::map<std::string, std::int64_t> room;
  for (const auto& slot : draft_.slots())
    if (may_run_on(job, *slot.machine) && draft_.zone_allows(job, slot.machine->zone))
      room[slot.machine->zone] += job.each.times_in(slot.for_arrays);
  const auto best = std::max_element(
      room.begin(), room.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
  return best == room.end() ? "" : best->first;
}

}  // namespace poppystile::planning
