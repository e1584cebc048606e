/// \file
/// The machines that the leader knows, and those that it has released.
#pragma once

#include <set>
#include <string>

#include "cluster/cluster_state.hpp"
#include "coordination/fleet/machine_catalog.hpp"
#include "coordination/journal/journal_writer.hpp"

namespace poppystile::coordination {

/// Admits machines to the cluster state and the journal. Except for the constructor, `begin_term`
/// and `is_active`, nothing may be called outside a term.
class MachineRegistry {
 public:
  MachineRegistry(JournalWriter& journal, const MachineCatalog& catalog)
      : journal_(journal), catalog_(catalog) {}

  /// `cluster_state` must live until `end_term`.
  void begin_term(cluster::ClusterState& cluster_state);
  void end_term() { cluster_state_ = nullptr; }
  bool is_active() const { return cluster_state_ != nullptr; }

  cluster::ClusterState& cluster_state() { return *cluster_state_; }
  /// The machine with this id; null if it is not known.
  cluster::Machine* find(const std::string& id);
  /// Records a machine and adds it to the cluster state. Returns null, and does nothing, if its
  /// type is not in the catalog.
  cluster::Machine* admit(cluster::Machine machine);

  /// Notes that the cloud has confirmed the release of a machine: late reports and lists must not
  /// bring it back.
  void mark_released(const std::string& id) { released_.insert(id); }
  /// Whether this leader has released the machine in its present term.
  bool is_released(const std::string& id) const { return released_.contains(id); }

 private:
  JournalWriter& journal_;
  const MachineCatalog& catalog_;
  cluster::ClusterState* cluster_state_ = nullptr;  // null outside a term
  std::set<std::string> released_;
};

}  // namespace poppystile::coordination
