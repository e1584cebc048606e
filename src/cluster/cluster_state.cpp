#include "cluster/cluster_state.hpp"

#include <algorithm>

#include "constants.hpp"

namespace poppystile::cluster {

std::uint32_t Job::take_waiting(Machine& machine) {
  std::uint32_t index = 0;
  if (!requeued.empty()) {
    index = requeued.back();
    requeued.pop_back();
  } else {
    // A restored job has tasks beyond the cursor that are finished or placed already.
    while (phases.at(next_unplaced) != TaskPhase::waiting) ++next_unplaced;
    index = next_unplaced++;
  }
  phases[index] = TaskPhase::placed;
  placements[index] = &machine;
  return index;
}

std::uint32_t Job::schedulable_tasks() const {
  if (is_gang()) return gang.is_over() ? 0 : waiting();
  if (retry_pause == Seconds{0}) return waiting();
  const auto out = static_cast<std::uint32_t>(placements.size());
  return std::min(waiting(),
                  constants::max_retrying_tasks - std::min(constants::max_retrying_tasks, out));
}

void Job::reset_failures() {
  failed_on.clear();
  retry_pause = longest_failed_run = Seconds{0};
}

void Job::requeue(std::uint32_t index) {
  phases[index] = TaskPhase::waiting;
  placements.erase(index);
  if (index < next_unplaced) requeued.push_back(index);
}

void Job::finish(std::uint32_t index) {
  phases[index] = TaskPhase::finished;
  placements.erase(index);
  ++finished;
}

void Job::finish_all() {
  for (std::uint32_t index = 0; index < spec().tasks; ++index)
    if (!is_task_finished(index)) finish(index);
}

void Job::for_each_placement(const std::function<void(Placement&)>& action) {
  for (const auto& [index, machine] : placements)
    for (auto& each : machine->placements)
      if (each.index == index && each.job == spec().id && each.phase != PlacementPhase::exited)
        action(each);
}

bool Machine::holds(const std::string& image) const {
  return std::any_of(images.begin(), images.end(),
                     [&](const CachedImage& each) { return each.name == image; });
}

void Machine::mark_image_used(const std::string& name, double gb) {
  std::erase_if(images, [&](const CachedImage& each) { return each.name == name; });
  images.push_back({name, gb});
  double total = 0;
  for (const auto& each : images) total += each.gb;
  while (images.size() > 1 && total > cache_gb) {
    total -= images.front().gb;
    images.erase(images.begin());
  }
}

Placement* Machine::find(const std::string& job, std::uint32_t index, std::uint64_t attempt) {
  for (auto& each : placements)
    if (each.index == index && each.attempt == attempt && each.job == job) return &each;
  return nullptr;
}

Job* ClusterState::job(const std::string& id) {
  const auto it = jobs.find(id);
  return it == jobs.end() ? nullptr : &it->second;
}

void ClusterState::record_recent_gang(const JobRecord& record) {
  RecentGang& recent = recent_gangs[record.spec.job_class];
  if (record.spec.tasks >= recent.largest.tasks) recent.largest = record.spec;
  recent.last_submitted_at = std::max(recent.last_submitted_at, record.accepted_at);
}

bool ClusterState::may_replace_tasks(const Job& job, SteadyTime now, Seconds max_wait) const {
  if (job.gang.phase != GangAttempt::Phase::assembling) return false;
  if (now - job.gang.placed_at > max_wait) return false;
  return std::all_of(job.placements.begin(), job.placements.end(), [&](const auto& each) {
    return each.second->last_heartbeat_at > job.gang.task_lost_at;
  });
}

Placement& ClusterState::place(Machine& machine, Job& job, std::uint64_t attempt, SteadyTime now) {
  return restore(machine, job, job.take_waiting(machine), attempt, now);
}

Placement& ClusterState::restore(Machine& machine, Job& job, std::uint32_t index,
                                 std::uint64_t attempt, SteadyTime now) {
  job.phases[index] = TaskPhase::placed;
  job.placements[index] = &machine;
  Placement placement;
  placement.job = job.spec().id;
  placement.team = job.spec().team;
  placement.index = index;
  placement.attempt = attempt;
  placement.each = job.spec().each;
  placement.phase_started_at = now;
  machine.used += placement.each;
  teams[placement.team].used += placement.each;
  machine.placements.push_back(std::move(placement));
  return machine.placements.back();
}

void ClusterState::release_resources(Machine& machine, Placement& placement) {
  if (placement.phase == PlacementPhase::exited) return;
  Job* owner = job(placement.job);
  if (placement.phase == PlacementPhase::running && owner != nullptr) --owner->running;
  placement.phase = PlacementPhase::exited;
  machine.used -= placement.each;
  teams[placement.team].used -= placement.each;
}

}  // namespace poppystile::cluster
