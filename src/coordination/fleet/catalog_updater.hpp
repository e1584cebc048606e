/// \file
/// Keeps the machine catalog up to date, and records it once for all controllers.
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

/// Fetches the catalog from the cloud while this controller leads. Keeps references to its
/// arguments.
class CatalogUpdater {
 public:
  CatalogUpdater(transport::Runtime& runtime, CloudClient& cloud, MachineCatalog& catalog,
                 KeyValueClient& key_value_client, SharedStateCache& shared_state,
                 LeaderElection& election, const protocol::Settings& settings);

  /// Starts from the recorded catalog if none has been fetched yet. Calls made before must have
  /// been abandoned.
  void begin_term();

  /// Fetches the catalog if it has not been fetched for `constants::catalog_refresh_interval` and
  /// the cloud's rate limit allows a call.
  void refresh_if_due();

 private:
  void fetch();
  void record_once();

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
