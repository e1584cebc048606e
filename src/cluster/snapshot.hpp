/// \file
/// A snapshot of the journal: the leader's model in as few entries as describe it. Pure.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "cluster/cluster_state.hpp"
#include "storage/journal.hpp"

namespace poppystile::cluster {

using storage::Json;
using storage::RentalRecord;

/// What one entry may carry at most, so that it fits a record.
struct EntryLimits {
  std::size_t max_runs = 1;
  std::size_t max_bitmap_tasks = 4;
};

/// Replaying these entries gives what replaying everything appended so far would give.
std::vector<Json> snapshot_entries(const ClusterState& cluster_state,
                                   const std::map<std::string, RentalRecord>& rentals,
                                   const EntryLimits& limits);

}  // namespace poppystile::cluster
