/// \file
/// Connects the components that rent and release machines, and runs them in order in each pass.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <utility>

#include "cluster/cluster_state.hpp"
#include "coordination/election/leader_election.hpp"
#include "coordination/fleet/catalog_updater.hpp"
#include "coordination/fleet/cloud_client.hpp"
#include "coordination/fleet/demand_history.hpp"
#include "coordination/fleet/inventory_reconciler.hpp"
#include "coordination/fleet/machine_catalog.hpp"
#include "coordination/fleet/machine_registry.hpp"
#include "coordination/fleet/machine_releaser.hpp"
#include "coordination/fleet/rental_log.hpp"
#include "coordination/fleet/scale_in.hpp"
#include "coordination/fleet/scale_out.hpp"
#include "coordination/journal/journal_writer.hpp"
#include "coordination/state/shared_state_cache.hpp"
#include "protocol/properties.hpp"
#include "protocol/settings.hpp"
#include "transport/event_loop.hpp"
#include "transport/http.hpp"

namespace poppystile::coordination {

/// Adapts the size of the fleet to the demand while this controller is the leader.
/// The constructor's arguments must outlive this object.
class FleetManager {
 public:
  FleetManager(transport::Runtime& runtime, transport::HttpCaller& http,
               KeyValueClient& key_value_client, SharedStateCache& shared_state,
               LeaderElection& election, JournalWriter& journal, const protocol::Settings& settings,
               const protocol::Properties& properties);

  /// Starts a term as the leader. `rentals` holds the rentals that are pending according to the
  /// journal, by name. `cluster_state` must live until `end_term`.
  void begin_term(cluster::ClusterState& cluster_state,
                  const std::map<std::string, storage::RentalRecord>& rentals);
  /// Ends the term. Responses to calls in flight are ignored.
  void end_term();
  /// Refreshes the catalog, rents, drains and releases machines, and fetches the machine list, each
  /// if due. While the catalog is empty, only refreshes it. Does nothing outside a term or without
  /// a valid leader lease.
  void run_pass();

  /// The pending rentals by name, for a snapshot of the journal.
  std::map<std::string, storage::RentalRecord> rental_records() const {
    return rental_log_.records();
  }
  /// Whether the cloud has confirmed the machine's release in the current term.
  bool has_released(const std::string& machine) const { return registry_.is_released(machine); }
  /// Sets the fields of a machine that its type determines. Returns false, and changes nothing, if
  /// the type is not in the catalog.
  bool apply_machine_type(cluster::Machine& machine) const {
    return catalog_.apply_machine_type(machine);
  }
  /// Records a machine in the journal and adds it to the cluster state. Returns null, and does
  /// nothing, if its type is not in the catalog.
  cluster::Machine* admit(cluster::Machine machine) { return registry_.admit(std::move(machine)); }
  /// Sets the handler for removed machines; required before the first term. It is not a constructor
  /// argument because constructing the handler's owner requires this object.
  void on_machine_removed(MachineRemovedHandler handler) {
    on_machine_removed_ = std::move(handler);
  }

 private:
  void reconcile_capacity();
  planning::ScalingContext scaling_context(SteadyTime now);

  transport::Runtime& runtime_;
  LeaderElection& election_;
  const protocol::Settings& settings_;
  const protocol::Properties& properties_;
  MachineRemovedHandler on_machine_removed_;
  CloudClient cloud_;
  MachineCatalog catalog_;
  CatalogUpdater catalog_updater_;
  MachineRegistry registry_;
  RentalLog rental_log_;
  MachineReleaser releaser_;
  ScaleOut scale_out_;
  ScaleIn scale_in_;
  InventoryReconciler inventory_;
  DemandHistory demand_history_;
  SteadyTime term_started_at_;
  SteadyTime last_capacity_pass_at_;
};

}  // namespace poppystile::coordination
