/// \file
/// The room that the fleet has or is about to have.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "cluster/cluster_state.hpp"
#include "planning/autoscaler/offer.hpp"
#include "planning/autoscaler/scaling_context.hpp"

namespace poppystile::planning {

/// The room of one machine, as bin packing uses it up.
struct Bin {
  Offer offer;
  protocol::Resources room;
  const cluster::Machine* machine = nullptr;  ///< null: requested, or about to be
  std::int64_t service_cpus = 0;              ///< thousandths; held by replicas of services
};

/// Machines by kind.
struct FleetComposition {
  std::map<Offer, int> available;  ///< that take work, boot in time, or are requested
  std::map<Offer, int> overdue;    ///< that have been booting for longer than usual
  int total_available = 0;

  void add_available(const Offer& offer);
  /// Share of this kind in all available machines and the next one.
  double available_share(const Offer& offer) const;
  /// Share of overdue machines in all machines of this kind.
  double overdue_share(const Offer& offer) const;
};

/// The bins at the start of a plan, and what the fleet consists of.
struct CapacitySupply {
  std::vector<Bin> bins;
  FleetComposition composition;

  /// Adds the room of a machine that is to be rented; nothing if its type is not in the catalog.
  void add_rented_machine(const Offer& offer, const std::vector<protocol::MachineType>& types);
};

/// Whether a machine has been booting for longer than its type usually takes.
bool is_boot_overdue(const cluster::Machine& machine, WallTime now);

/// Whether a machine is there, or booting, to take work. One whose boot is overdue may never come
/// up: its capacity is rented again meanwhile.
bool counts_as_capacity(const cluster::Machine& machine, WallTime now);

/// The service of which `placement` is a replica; null for other jobs' tasks and after its exit.
const protocol::JobSpec* service_of(const cluster::ClusterState& cluster_state,
                                    const cluster::Placement& placement);

/// The room of all machines that count as capacity and are not draining, and of pending rentals.
CapacitySupply measure_supply(const cluster::ClusterState& cluster_state,
                              const ScalingContext& context);

}  // namespace poppystile::planning
