/// \file
/// Refreshes the machine catalog from the cloud, and stores it once in the state service for all
/// controllers.
#pragma once

#include <vector>

#include "coordination/election/leader_election.hpp"
#include "coordination/fleet/cloud_client.hpp"
#include "coordination/fleet/machine_catalog.hpp"
#include "coordination/state/key_value_client.hpp"
#include "coordination/state/shared_state_cache.hpp"
#include "protocol/settings.hpp"
#include "transport/event_loop.hpp"

namespace poppystile::coordination {

/// Fetches the catalog from the cloud while this controller is the leader.
/// The constructor's arguments must outlive this object.
class CatalogUpdater {
 public:
  CatalogUpdater(transport::Runtime& runtime, CloudClient& cloud, MachineCatalog& catalog,
                 KeyValueClient& key_value_client, SharedStateCache& shared_state,
                 LeaderElection& election, const protocol::Settings& settings);

  /// Starts a term as the leader, with the catalog stored in the state service if none has been
  /// fetched yet. Cloud calls of the previous term must have been abandoned.
  void begin_term();

  /// Fetches the catalog if the last successful fetch is more than
  /// `constants::catalog_refresh_interval` ago, there was none, or storing its catalog failed;
  /// provided that no fetch is in flight and the cloud's rate limit allows a call.
  void refresh_if_due();

 private:
  void fetch();
  void record_if_absent();

  transport::Runtime& runtime_;
  CloudClient& cloud_;
  MachineCatalog& catalog_;
  KeyValueClient& key_value_client_;
  SharedStateCache& shared_state_;
  LeaderElection& election_;
  const protocol::Settings& settings_;
  SteadyTime fetched_at_;
  bool fetch_in_flight_ = false;
};

}  // namespace poppystile::coordination
