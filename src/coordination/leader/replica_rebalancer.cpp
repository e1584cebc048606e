#include "coordination/leader/replica_rebalancer.hpp"

#include "constants.hpp"

namespace poppystile::coordination {

using cluster::Job;
using cluster::PlacementPhase;

void ReplicaRebalancer::run_pass() {
  const SteadyTime now = runtime_.now();
  if (now < next_move_at_) return;
  const Candidates candidates = find_candidates();
  if (candidates.next == nullptr) return;
  const Seconds pause = pause_between_moves(candidates.replicas);
  if (pause > constants::max_pause_between_moves) return;
  candidates.next->stopping = true;
  next_move_at_ = now + pause;
}

ReplicaRebalancer::Candidates ReplicaRebalancer::find_candidates() {
  Candidates found;
  for (auto& [id, machine] : cluster_state_.machines)
    for (auto& placement : machine.placements) {
      const Job* job = cluster_state_.job(placement.job);
      if (job == nullptr || job->spec().kind != protocol::JobKind::service) continue;
      ++found.replicas;
      if (machine.draining && placement.phase == PlacementPhase::running && !placement.stopping)
        found.next = &placement;
    }
  return found;
}

Seconds ReplicaRebalancer::pause_between_moves(std::size_t replicas) const {
  return constants::move_downtime_heartbeats * settings_.heartbeat_interval /
         (static_cast<double>(replicas) * constants::max_moving_downtime_share);
}

}  // namespace poppystile::coordination
