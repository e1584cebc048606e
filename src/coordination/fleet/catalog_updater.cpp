#include "coordination/fleet/catalog_updater.hpp"

#include <spdlog/spdlog.h>

#include "constants.hpp"
#include "storage/records.hpp"

namespace poppystile::coordination {

using protocol::MachineType;

CatalogUpdater::CatalogUpdater(transport::Runtime& runtime, CloudClient& cloud,
                               MachineCatalog& catalog, KeyValueClient& key_value_client,
                               SharedStateCache& shared_state, LeaderElection& election,
                               const protocol::Settings& settings)
    : runtime_(runtime),
      cloud_(cloud),
      catalog_(catalog),
      key_value_client_(key_value_client),
      shared_state_(shared_state),
      election_(election),
      settings_(settings) {}

void CatalogUpdater::begin_term() {
  fetch_in_flight_ = false;
  if (catalog_.empty()) catalog_.replace(shared_state_.types());
}

void CatalogUpdater::refresh_if_due() {
  if (fetch_in_flight_) return;
  const bool is_due = fetched_at_ == SteadyTime{} ||
                      runtime_.now() - fetched_at_ > constants::catalog_refresh_interval;
  if (is_due && cloud_.acquire_call()) fetch();
}

void CatalogUpdater::fetch() {
  fetch_in_flight_ = true;
  cloud_.fetch_catalog([this](const CloudResult<std::vector<MachineType>>& types) {
    fetch_in_flight_ = false;
    if (!types) {
      if (types.error().reason == CloudError::Reason::malformed)
        spdlog::info("catalog response malformed why=\"{}\"", types.error().detail);
      return;
    }
    catalog_.replace(*types);
    fetched_at_ = runtime_.now();
    record_if_absent();
  });
}

// Stores the catalog in the state service unless one is stored already. A controller that starts
// while the cloud is unavailable validates submissions against the stored catalog.
void CatalogUpdater::record_if_absent() {
  if (shared_state_.catalog_version() != 0) return;
  const protocol::Json value = storage::encode_catalog(catalog_.types());
  if (value.dump().size() > settings_.state_limits.max_value_bytes())
    return spdlog::error("catalog exceeds the state service's value limit, not recorded types={}",
                         catalog_.types().size());
  protocol::Transaction transaction;
  transaction.conditions = {election_.fence(), {storage::keys::catalog, 0}};
  transaction.changes = {{storage::keys::catalog, value.dump(), 0}};
  key_value_client_.compare_and_swap(
      transaction, RequestPriority::user, [this, value](const TransactionResult& result) {
        if (result.status == CallStatus::ok)
          return shared_state_.apply_response(storage::keys::catalog, value, result.revision);
        fetched_at_ = {};  // Makes a fetch due; after it, the catalog is recorded again.
      });
}

}  // namespace poppystile::coordination
