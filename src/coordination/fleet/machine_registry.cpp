#include "coordination/fleet/machine_registry.hpp"

#include <utility>

namespace poppystile::coordination {

using cluster::Machine;

void MachineRegistry::begin_term(cluster::ClusterState& cluster_state) {
  cluster_state_ = &cluster_state;
  released_.clear();
}

Machine* MachineRegistry::find(const std::string& id) {
  const auto found = cluster_state_->machines.find(id);
  return found == cluster_state_->machines.end() ? nullptr : &found->second;
}

Machine* MachineRegistry::admit(Machine machine) {
  if (!catalog_.apply_machine_type(machine)) return nullptr;
  journal_.append(storage::MachineRegistered{machine.id, machine.type, machine.zone, machine.spot,
                                             machine.incarnation, machine.rented_at});
  const std::string id = machine.id;
  return &cluster_state_->machines.insert_or_assign(id, std::move(machine)).first->second;
}

}  // namespace poppystile::coordination
