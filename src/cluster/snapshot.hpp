/// \file
/// A snapshot of the journal: a short list of entries that describes the leader's state.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "cluster/cluster_state.hpp"
#include "storage/journal_entry.hpp"

namespace poppystile::cluster {

/// Returns entries whose replay gives the same state as the replay of all entries appended so far.
/// `rentals` are the unsettled rental requests by name. No entry exceeds `limits`. Has no side
/// effects.
std::vector<storage::JournalEntry> snapshot_entries(
    const ClusterState& cluster_state, const std::map<std::string, storage::RentalRecord>& rentals,
    const storage::EntryLimits& limits);

}  // namespace poppystile::cluster
