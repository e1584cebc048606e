/// \file
/// Moves replicas of services off draining machines.
#pragma once

#include <cstddef>

#include "clock.hpp"
#include "cluster/cluster_state.hpp"
#include "protocol/settings.hpp"
#include "transport/event_loop.hpp"

namespace poppystile::coordination {

/// Moves one replica at a time. A replica is down from its stop until its start on another machine.
/// The pause between two moves limits that downtime to a small share of all replicas' time
/// (`max_moving_downtime_share`).
class ReplicaRebalancer {
 public:
  ReplicaRebalancer(const transport::Runtime& runtime, cluster::ClusterState& cluster_state,
                    const protocol::Settings& settings)
      : runtime_(runtime), cluster_state_(cluster_state), settings_(settings) {}

  /// Stops one replica that runs on a draining machine, if the pause after the last move has
  /// passed. Stops none if replicas are so few that the pause would exceed
  /// `max_pause_between_moves`.
  void run_pass();

 private:
  struct Candidates {
    std::size_t replicas = 0;            // Replicas of all services, on any machine.
    cluster::Placement* next = nullptr;  // A replica to move; null if there is none.
  };
  Candidates find_candidates();
  Seconds pause_between_moves(std::size_t replicas) const;

  const transport::Runtime& runtime_;
  cluster::ClusterState& cluster_state_;
  const protocol::Settings& settings_;
  SteadyTime next_move_at_;
};

}  // namespace poppystile::coordination
