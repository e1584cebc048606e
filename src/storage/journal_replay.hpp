/// \file
/// Puts the journal's records in order and replays them.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "storage/journal_records.hpp"
#include "storage/replayed_state.hpp"

namespace poppystile::storage {

/// Collects the records that a leader finds under `journal/`, in any order.
class JournalReplay {
 public:
  /// Throws `DecodeError` when the record cannot be read; then nothing of the journal may be
  /// believed.
  void add(const std::string& key, const Json& value);

  /// The snapshot that counts, then the segments after it. Throws `DecodeError` when a record of
  /// these is missing or an entry of theirs cannot be read.
  ReplayedState replay() const;

  /// Whether there is nothing to replay: no snapshot counts and there is no segment.
  bool empty() const { return head_.generation == 0 && segments_.empty(); }

  /// Without a stored head every segment from the first on counts.
  const JournalHead& head() const { return head_; }

  /// The number of the newest segment; 0: there is none.
  std::uint64_t last_segment() const { return segments_.empty() ? 0 : segments_.rbegin()->first; }

 private:
  struct SnapshotChunkId {
    std::uint64_t generation = 0;
    std::uint64_t chunk = 0;
    auto operator<=>(const SnapshotChunkId&) const = default;
  };

  void add_snapshot_chunk(const std::string& key, const Json& value);

  JournalHead head_;
  std::map<std::uint64_t, std::vector<Json>> segments_;  // by number
  std::map<SnapshotChunkId, std::vector<Json>> snapshots_;
};

}  // namespace poppystile::storage
