/// \file
/// Packs demanded tasks into the fleet's free capacity, and determines which machines are missing.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "planning/autoscaler/capacity_demand.hpp"
#include "planning/autoscaler/capacity_supply.hpp"
#include "planning/autoscaler/offer_selector.hpp"

namespace poppystile::planning {

/// First-fit packing: into the bins in their order, then into machines that would be rented.
/// `types` and `selector` must outlive the packer.
class BinPacker {
 public:
  BinPacker(CapacitySupply supply, const std::vector<protocol::MachineType>& types,
            const OfferSelector& selector);

  /// Places the permitted tasks, adding machines of the offers that the selector returns when the
  /// bins are full. `demand` must outlive the packer.
  void pack(const TaskDemand& demand);

  /// The bins, including those of added machines, with their remaining capacity.
  std::vector<Bin>& bins() { return supply_.bins; }
  /// Number of added machines for each offer.
  const std::map<Offer, int>& missing_machines() const { return missing_machines_; }
  /// Demands of waiting tasks for which there is neither enough free capacity nor an offer.
  const std::vector<const TaskDemand*>& unplaced() const { return unplaced_; }

 private:
  std::optional<std::string> choose_zone(const TaskDemand& demand) const;
  std::map<std::string, std::int64_t> task_capacity_by_zone(const protocol::JobSpec& spec) const;
  bool can_rent_in(const std::string& zone, const protocol::JobSpec& spec) const;

  CapacitySupply supply_;
  const std::vector<protocol::MachineType>& types_;
  const OfferSelector& selector_;
  std::map<Offer, int> missing_machines_;
  std::vector<const TaskDemand*> unplaced_;
};

}  // namespace poppystile::planning
