/// \file
/// Orders the journal's records and replays them.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "storage/journal_records.hpp"
#include "storage/replayed_state.hpp"

namespace poppystile::storage {

/// Collects the records stored under `journal/`, in any order, and replays them.
class JournalReplay {
 public:
  /// Adds one record. Throws `DecodeError` when the key is unknown or the value malformed; the
  /// journal must not be used then.
  void add(const std::string& key, const Json& value);

  /// Replays the current snapshot, then the segments after it. Throws `DecodeError` when one of
  /// these records is missing or contains an entry that cannot be decoded.
  ReplayedState replay() const;

  /// Whether there is nothing to replay: neither a current snapshot nor a segment.
  bool empty() const { return head_.generation == 0 && segments_.empty(); }

  /// The stored head; if there is none, one without a snapshot, so that replay begins at segment 1.
  const JournalHead& head() const { return head_; }

  /// The number of the newest segment, or 0 if there is none.
  std::uint64_t last_segment() const { return segments_.empty() ? 0 : segments_.rbegin()->first; }

 private:
  struct SnapshotChunkId {
    std::uint64_t generation = 0;
    std::uint64_t chunk = 0;
    auto operator<=>(const SnapshotChunkId&) const = default;
  };

  void add_snapshot_chunk(const std::string& key, const Json& value);

  JournalHead head_;
  std::map<std::uint64_t, std::vector<Json>> segments_;  // By segment number.
  std::map<SnapshotChunkId, std::vector<Json>> snapshots_;
};

}  // namespace poppystile::storage
