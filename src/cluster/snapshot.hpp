/// \file
/// A snapshot of the journal: the leader's state in as few entries as describe it. Pure.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "cluster/cluster_state.hpp"
#include "storage/journal_entry.hpp"

namespace poppystile::cluster {

/// Replaying these entries gives what replaying everything appended so far would give. `rentals`:
/// by name. No entry exceeds the limits.
std::vector<storage::JournalEntry> snapshot_entries(
    const ClusterState& cluster_state, const std::map<std::string, storage::RentalRecord>& rentals,
    const storage::EntryLimits& limits);

}  // namespace poppystile::cluster
