/// \file
/// When the journal's next snapshot is due, and the chunks of the one that is being written.
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

/// Keeps the journal short: a snapshot is due once the segments after the last one are many or
/// large, and it is written at a pace that leaves segments for what happens meanwhile.
///
/// Two snapshots matter: the one that counts, which the stored head names, and the next one, of
/// which the head says nothing before all its chunks are written.
class SnapshotSchedule {
 public:
  /// A new term: `head` names the snapshot that counts. `segment_bytes`: of the segments after it.
  void begin_term(const storage::JournalHead& head, std::size_t segment_bytes);

  /// Drops the snapshot that is being written.
  void abandon();

  /// Counts a segment of this size that lies after the snapshot.
  void on_segment_sealed(std::size_t bytes) { segment_bytes_ += bytes; }

  /// Whether a snapshot should be started. `next_segment`: the number of the first unused segment.
  bool is_due(std::uint64_t next_segment) const;

  /// Starts a snapshot of these entries, grouped by record. Reading goes on after it with
  /// `first_segment`. None may be under way.
  void start(const std::vector<std::vector<std::string>>& groups, std::uint64_t first_segment,
             std::uint64_t token);

  /// The chunks that are in no transaction yet.
  std::deque<JournalRecord>& chunks() { return chunks_; }

  /// Whether every chunk of the snapshot under way is in a transaction, so that the head may
  /// follow in the same one or a later one.
  bool is_head_due() const { return next_head_.has_value() && chunks_.empty(); }

  /// The head that makes the snapshot under way the one that counts. One must be under way.
  JournalRecord next_head_record() const;

  /// That head was written.
  void on_head_committed();

  /// Segments that a successor has to read after the snapshot that counts.
  std::uint64_t segments_since(std::uint64_t next_segment) const {
    return next_segment - head_.first_segment;
  }

  /// Segments that may be written before the next snapshot counts.
  std::uint64_t max_segments_since() const;

  /// Chunks that may go into one transaction. Of the segments that are left when a snapshot begins,
  /// half may be used up until it is written.
  std::size_t max_chunks_per_write() const;

 private:
  storage::JournalHead head_;
  std::optional<storage::JournalHead> next_head_;  // of the snapshot that is being written
  std::deque<JournalRecord> chunks_;
  std::size_t snapshot_bytes_ = 0;  // of the newest snapshot
  std::size_t segment_bytes_ = 0;   // of the segments since it was started
};

}  // namespace poppystile::coordination
