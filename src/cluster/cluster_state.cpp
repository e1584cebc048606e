#include "cluster/cluster_state.hpp"

#include <algorithm>
#include <utility>

namespace poppystile::cluster {

Job* ClusterState::job(const std::string& id) {
  const auto it = jobs.find(id);
  return it == jobs.end() ? nullptr : &it->second;
}

void ClusterState::record_recent_gang(const JobRecord& record) {
  RecentGang& recent = recent_gangs[record.spec.job_class];
  if (record.spec.tasks >= recent.largest.tasks) recent.largest = record.spec;
  recent.last_submitted_at = std::max(recent.last_submitted_at, record.accepted_at);
}

Placement& ClusterState::place(Machine& machine, Job& job, std::uint64_t attempt, SteadyTime now) {
  return restore(machine, job, job.place_next_waiting_task(machine), attempt, now);
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
  placement.task_resources = job.spec().task_resources;
  placement.phase_started_at = now;
  machine.used += placement.task_resources;
  teams[placement.team].used += placement.task_resources;
  machine.placements.push_back(std::move(placement));
  return machine.placements.back();
}

void ClusterState::release_resources(Machine& machine, Placement& placement) {
  if (placement.phase == PlacementPhase::exited) return;
  Job* owner = job(placement.job);
  if (placement.phase == PlacementPhase::running && owner != nullptr) --owner->running;
  placement.phase = PlacementPhase::exited;
  machine.used -= placement.task_resources;
  teams[placement.team].used -= placement.task_resources;
}

}  // namespace poppystile::cluster
