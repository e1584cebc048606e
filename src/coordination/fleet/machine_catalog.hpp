/// \file
/// The machine types that can be rented, with their prices.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "cluster/cluster_state.hpp"
#include "protocol/cloud_messages.hpp"

namespace poppystile::coordination {

/// The machine types last read from the cloud or the state service; empty before the first read.
class MachineCatalog {
 public:
  const std::vector<protocol::MachineType>& types() const { return types_; }
  bool empty() const { return types_.empty(); }
  void replace(std::vector<protocol::MachineType> types) { types_ = std::move(types); }

  /// The type called `name`, or null if it is not in the catalog.
  const protocol::MachineType* find(const std::string& name) const;

  /// Sets the fields of a machine that its type determines. Returns false, and changes nothing, if
  /// the type is not in the catalog.
  bool apply_machine_type(cluster::Machine& machine) const;

 private:
  std::vector<protocol::MachineType> types_;
};

}  // namespace poppystile::coordination
