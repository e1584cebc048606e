/// \file
/// The machine types that can be rented, with their prices.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "cluster/cluster_state.hpp"
#include "protocol/cloud_messages.hpp"

namespace poppystile::coordination {

/// The newest known machine types; empty until they have been read from anywhere.
class MachineCatalog {
 public:
  const std::vector<protocol::MachineType>& types() const { return types_; }
  bool empty() const { return types_.empty(); }
  void replace(std::vector<protocol::MachineType> types) { types_ = std::move(types); }

  /// The type called `name`; null if it is not known.
  const protocol::MachineType* find(const std::string& name) const;

  /// Sets the fields of a machine that follow from its type. Returns false, and changes nothing, if
  /// its type is not known.
  bool apply_machine_type(cluster::Machine& machine) const;

 private:
  std::vector<protocol::MachineType> types_;
};

}  // namespace poppystile::coordination
