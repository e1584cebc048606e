/// \file
/// Decides when the journal's next snapshot is due, and holds the chunks of the one in progress.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "coordination/journal/journal_record.hpp"
#include "storage/journal_records.hpp"

namespace poppystile::coordination {

/// Bounds the length of the journal: a snapshot is due once the segments after the last one exceed
/// a number or a size in bytes. It is written fast enough that segments remain for the entries
/// appended in the meantime.
///
/// There are up to two snapshots: the committed one, to which the stored head refers, and the one
/// in progress. The head refers to a snapshot only once all its chunks are written.
class SnapshotSchedule {
 public:
  /// Begins a term. `head` refers to the committed snapshot; `segment_bytes` is the total size of
  /// the segments after it.
  void begin_term(const storage::JournalHead& head, std::size_t segment_bytes);

  /// Discards the snapshot in progress, if any.
  void abandon();

  /// Adds `bytes` to the size of the segments after the newest snapshot.
  void on_segment_sealed(std::size_t bytes) { segment_bytes_ += bytes; }

  /// Whether a snapshot should be started; false while one is in progress. `next_segment` is the
  /// number of the first unused segment.
  bool is_due(std::uint64_t next_segment) const;

  /// Starts a snapshot of the encoded entries in `groups`, one group per chunk. Replay continues
  /// after the snapshot with `first_segment`. No snapshot may be in progress. `token` is the
  /// leader's fencing token.
  void start(const std::vector<std::vector<std::string>>& groups, std::uint64_t first_segment,
             std::uint64_t token);

  /// The chunks that are not part of a transaction yet.
  std::deque<JournalRecord>& chunks() { return chunks_; }

  /// Whether every chunk of the snapshot in progress is part of a transaction, so that the head may
  /// be written in the same transaction as the last chunk or in a later one.
  bool is_head_due() const { return next_head_.has_value() && chunks_.empty(); }

  /// The head record that commits the snapshot in progress, which must exist.
  JournalRecord next_head_record() const;

  /// Must be called when the record from `next_head_record` was written: the snapshot in progress
  /// becomes the committed one.
  void on_head_committed();

  /// Number of segments that the next leader has to replay after the committed snapshot.
  std::uint64_t segments_since(std::uint64_t next_segment) const {
    return next_segment - head_.first_segment;
  }

  /// Number of segments that may follow the committed snapshot before the next one is committed.
  std::uint64_t max_segments_since() const;

  /// Maximum number of chunks in one transaction, chosen so that at most half of the segments that
  /// remain when a snapshot is started are used until it is written.
  std::size_t max_chunks_per_write() const;

 private:
  storage::JournalHead head_;
  std::optional<storage::JournalHead> next_head_;  // Head of the snapshot in progress.
  std::deque<JournalRecord> chunks_;
  std::size_t snapshot_bytes_ = 0;  // Size of the snapshot that was started last.
  std::size_t segment_bytes_ = 0;   // Total size of the segments since then.
};

}  // namespace poppystile::coordination
