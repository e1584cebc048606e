/// \file
/// The free capacity of the fleet's machines and of pending rentals.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "cluster/cluster_state.hpp"
#include "planning/autoscaler/offer.hpp"
#include "planning/autoscaler/scaling_context.hpp"

namespace poppystile::planning {

/// The free capacity of one machine, which bin packing reduces as it places tasks.
struct Bin {
  Offer offer;
  protocol::Resources free_resources;
  const cluster::Machine* machine = nullptr;  ///< Null for a machine that is not rented yet
  std::int64_t service_cpus = 0;              ///< Thousandths of CPUs used by replicas of services
};

/// Numbers of machines by offer.
struct FleetComposition {
  std::map<Offer, int> available;  ///< Machines for which `CapacitySupply` has a bin
  std::map<Offer, int> overdue;    ///< Machines whose boot is overdue
  int total_available = 0;

  void add_available(const Offer& offer);
  /// The offer's available machines, divided by all available machines and one to be added.
  double available_share(const Offer& offer) const;
  /// The offer's overdue machines, divided by its overdue and available machines; 0 if it has
  /// none.
  double overdue_share(const Offer& offer) const;
};

/// The bins and the composition of the fleet before a scaling pass packs its demand.
struct CapacitySupply {
  std::vector<Bin> bins;
  FleetComposition composition;

  /// Adds the capacity of a machine to be rented. Does nothing if `types` does not contain its
  /// type.
  void add_rented_machine(const Offer& offer, const std::vector<protocol::MachineType>& types);
};

/// Whether a machine has been booting for longer than `constants::boot_latest_share` times the
/// usual boot time of its type.
bool is_boot_overdue(const cluster::Machine& machine, WallTime now);

/// Whether a machine can take tasks now or once it has booted. A machine whose boot is overdue does
/// not count: its boot may never finish, so its capacity is rented again.
bool counts_as_capacity(const cluster::Machine& machine, WallTime now);

/// The service of which `placement` is a replica, or null if it is a task of another kind of job or
/// has exited.
const protocol::JobSpec* service_of(const cluster::ClusterState& cluster_state,
                                    const cluster::Placement& placement);

/// Returns the free capacity of all machines that count as capacity and are not draining, followed
/// by that of pending rentals.
CapacitySupply measure_supply(const cluster::ClusterState& cluster_state,
                              const ScalingContext& context);

}  // namespace poppystile::planning
