/// \file
/// The machines in the leader's cluster state, and the machines that it has released.
#pragma once

#include <set>
#include <string>

#include "cluster/cluster_state.hpp"
#include "coordination/fleet/machine_catalog.hpp"
#include "coordination/journal/journal_writer.hpp"

namespace poppystile::coordination {

/// Adds machines to the cluster state and records them in the journal. Outside a term, only
/// `begin_term` and `is_active` may be called.
class MachineRegistry {
 public:
  MachineRegistry(JournalWriter& journal, const MachineCatalog& catalog)
      : journal_(journal), catalog_(catalog) {}

  /// Starts a term without released machines. `cluster_state` must live until `end_term`.
  void begin_term(cluster::ClusterState& cluster_state);
  void end_term() { cluster_state_ = nullptr; }
  bool is_active() const { return cluster_state_ != nullptr; }

  cluster::ClusterState& cluster_state() { return *cluster_state_; }
  /// The machine with this id, or null if it is not in the cluster state.
  cluster::Machine* find(const std::string& id);
  /// Records a machine in the journal and adds it to the cluster state, where it replaces a machine
  /// with the same id. Returns null, and does nothing, if its type is not in the catalog.
  cluster::Machine* admit(cluster::Machine machine);

  /// Marks a machine whose release the cloud has confirmed, so that a late heartbeat or an outdated
  /// machine list does not add it again.
  void mark_released(const std::string& id) { released_.insert(id); }
  /// Whether the machine was marked as released in the current term.
  bool is_released(const std::string& id) const { return released_.contains(id); }

 private:
  JournalWriter& journal_;
  const MachineCatalog& catalog_;
  cluster::ClusterState* cluster_state_ = nullptr;  // Null outside a term.
  std::set<std::string> released_;
};

}  // namespace poppystile::coordination
