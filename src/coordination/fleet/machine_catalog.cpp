#include "coordination/fleet/machine_catalog.hpp"

#include "planning/autoscaler/offer.hpp"

namespace poppystile::coordination {

const protocol::MachineType* MachineCatalog::find(const std::string& name) const {
  return planning::find_machine_type(types_, name);
}

bool MachineCatalog::apply_machine_type(cluster::Machine& machine) const {
  const protocol::MachineType* type = find(machine.type);
  if (type == nullptr) return false;
  machine.size = type->size;
  machine.fetch_gb_per_s = type->fetch_gb_per_s;
  machine.cache_gb = type->cache_gb;
  machine.boot_time = type->boot_time;
  return true;
}

}  // namespace poppystile::coordination
