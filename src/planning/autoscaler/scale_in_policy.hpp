/// \file
/// Selects machines to drain, and draining machines to uncordon or release.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cluster/cluster_state.hpp"
#include "planning/autoscaler/capacity_demand.hpp"
#include "planning/autoscaler/capacity_supply.hpp"
#include "planning/autoscaler/scaling_context.hpp"

namespace poppystile::planning {

/// Returns the ids of draining machines that shall accept tasks again, among those that count as
/// capacity. If `machines_are_missing`, so that machines would have to be rented, it returns all of
/// them. Otherwise it returns those with free capacity for a task of an unplaced demand, because a
/// machine whose replicas fit nowhere else would drain forever while that demand waits.
std::vector<std::string> choose_machines_to_uncordon(
    const cluster::ClusterState& cluster_state, WallTime now, bool machines_are_missing,
    const std::vector<const TaskDemand*>& unplaced);

/// Returns the ids of draining machines without tasks that are not being released yet.
std::vector<std::string> find_drained_machines(const cluster::ClusterState& cluster_state);

/// Selects the machines beyond the highest recent demand. The constructor's arguments must outlive
/// this object.
class ScaleInPolicy {
 public:
  /// `bins` holds the free capacity that remains after packing. Selecting a machine removes its own
  /// free capacity and reserves capacity on other machines for its replicas.
  ScaleInPolicy(const cluster::ClusterState& cluster_state, const ScalingContext& context,
                std::vector<Bin>& bins)
      : cluster_state_(cluster_state), context_(context), bins_(bins) {}

  /// Returns the ids of machines to drain. The remaining machines have at least the CPUs of the
  /// highest recent demand, times `constants::demand_headroom_factor`.
  ///
  /// Candidates are machines that have sent a heartbeat and on which nothing was packed. At most
  /// the share `constants::max_drain_share` of them, rounded up, is selected: first those with the
  /// fewest CPUs used by services, then those with the highest price per CPU, then those with the
  /// fewest CPUs in use. A machine with replicas is selected only if they use at most
  /// `constants::max_moved_cpu_share` of its CPUs and all fit on other machines that
  /// have sent a heartbeat, already run services and cache the service's image.
  std::vector<std::string> choose_machines_to_drain();

 private:
  struct Candidate {
    Bin* bin;
    double price_per_cpu;
  };

  std::vector<Candidate> sorted_candidates();
  std::int64_t excess_cpus() const;
  double price_per_cpu(const cluster::Machine& machine) const;
  bool reserve_capacity_for_replicas(Bin& source);
  Bin* find_target(const protocol::JobSpec& service, const Bin& source);

  const cluster::ClusterState& cluster_state_;
  const ScalingContext& context_;
  std::vector<Bin>& bins_;
};

}  // namespace poppystile::planning
