/// \file
/// A snapshot of the journal: the leader's model in as few entries as describe it. Pure.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "bookkeeping/journal.hpp"
#include "bookkeeping/model.hpp"

namespace poppystile::bookkeeping {

/// What one entry may carry at most, so that it fits a record.
struct EntryLimits {
  std::size_t max_runs = 1;
  std::size_t max_bitmap_tasks = 4;
};

/// Replaying these entries gives what replaying everything appended so far would give.
std::vector<Json> snapshot_entries(const Model& model,
                                   const std::map<std::string, RentalRecord>& rentals,
                                   const EntryLimits& limits);

}  // namespace poppystile::bookkeeping
