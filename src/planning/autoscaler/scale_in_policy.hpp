/// \file
/// Which machines the fleet can do without, and which draining machines it needs after all.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cluster/cluster_state.hpp"
#include "planning/autoscaler/capacity_demand.hpp"
#include "planning/autoscaler/capacity_supply.hpp"
#include "planning/autoscaler/scaling_context.hpp"

namespace poppystile::planning {

/// Draining machines that are wanted again: all of them if others would have to be rented, and
/// those that fit an unplaced demand, since a machine that cannot be emptied drains for ever.
std::vector<std::string> choose_machines_to_uncordon(
    const cluster::ClusterState& cluster_state, WallTime now, bool machines_are_missing,
    const std::vector<const TaskDemand*>& unplaced);

/// Draining machines that have run empty and are not being released yet.
std::vector<std::string> find_drained_machines(const cluster::ClusterState& cluster_state);

/// Chooses the machines that exceed the highest recent demand. Keeps references to its arguments.
class ScaleInPolicy {
 public:
  /// `bins`: the room that is left after packing. A choice takes up the room that its replicas
  /// will move to.
  ScaleInPolicy(const cluster::ClusterState& cluster_state, const ScalingContext& context,
                std::vector<Bin>& bins)
      : cluster_state_(cluster_state), context_(context), bins_(bins) {}

  /// Ids of machines to drain, a small share of the fleet at a time: machines without services
  /// first, the dearest of them; then those whose few replicas fit elsewhere. Only machines of
  /// whose room the packing used nothing are considered.
  std::vector<std::string> choose_machines_to_drain();

 private:
  struct Candidate {
    Bin* bin;
    double price_per_cpu;
  };

  std::vector<Candidate> sorted_candidates();
  std::int64_t excess_cpus() const;
  double price_per_cpu(const cluster::Machine& machine) const;
  bool reserve_room_for_replicas(Bin& source);
  Bin* find_target(const protocol::JobSpec& service, const Bin& source);

  const cluster::ClusterState& cluster_state_;
  const ScalingContext& context_;
  std::vector<Bin>& bins_;
};

}  // namespace poppystile::planning
