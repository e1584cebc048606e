#include "cluster/job.hpp"

#include <algorithm>

#include "cluster/machine.hpp"
#include "constants.hpp"

namespace poppystile::cluster {

std::uint32_t Job::place_next_waiting_task(Machine& machine) {
  std::uint32_t index = 0;
  if (!requeued.empty()) {
    index = requeued.back();
    requeued.pop_back();
  } else {
    // A restored job may have placed or finished tasks from `next_unplaced` on.
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
  const auto placed_tasks = static_cast<std::uint32_t>(placements.size());
  return std::min(waiting(), constants::max_retrying_tasks -
                                 std::min(constants::max_retrying_tasks, placed_tasks));
}

void Job::reset_failures() {
  failed_machines.clear();
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
    for (auto& placement : machine->placements)
      if (placement.index == index && placement.job == spec().id &&
          placement.phase != PlacementPhase::exited)
        action(placement);
}

bool Job::may_replace_tasks(SteadyTime now, Seconds max_wait) const {
  if (gang.phase != GangAttempt::Phase::assembling) return false;
  if (now - gang.placed_at > max_wait) return false;
  return std::all_of(placements.begin(), placements.end(), [&](const auto& placement) {
    return placement.second->last_heartbeat_at > gang.task_lost_at;
  });
}

}  // namespace poppystile::cluster
