/// \file
/// Journal entries that were appended but are not part of a transaction yet.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

#include "coordination/journal/journal_record.hpp"
#include "storage/journal_entry.hpp"

namespace poppystile::coordination {

/// Collects entries, merges them where possible, and seals them into numbered segments.
///
/// A log position is the number of entries appended in this term. An entry is durable once the
/// journal is written up to the position that `append` returned for it.
class SegmentQueue {
 public:
  /// Begins a term with an empty queue. `next_number` is the number of the next segment.
  void begin_term(std::uint64_t next_number);

  /// Discards all entries and all sealed segments.
  void clear();

  /// Appends an entry, or merges it into the last one if the result has at most `max_elements`
  /// elements. Returns the entry's log position.
  std::uint64_t append(storage::JournalEntry entry, std::size_t max_elements);

  /// Moves the collected entries into segments with at most `max_bytes` of entries each. All of
  /// these entries are durable only with the last segment, which gets the position of the last
  /// entry; the other segments get `committed_position`. Returns the total size of the new segments
  /// in bytes.
  std::size_t seal(std::uint64_t token, std::size_t max_bytes, std::uint64_t committed_position);

  /// The sealed segments that are not part of a transaction yet, oldest first.
  std::deque<JournalRecord>& segments() { return segments_; }

  /// Number of the first segment that is not part of a transaction yet, whether sealed or not.
  std::uint64_t first_queued() const {
    return segments_.empty() ? next_number_ : segments_.front().number;
  }

  /// Number of the next segment to be sealed.
  std::uint64_t next_number() const { return next_number_; }

 private:
  std::vector<storage::JournalEntry> unsealed_;
  std::deque<JournalRecord> segments_;
  std::uint64_t appended_position_ = 0;
  std::uint64_t next_number_ = 1;
};

}  // namespace poppystile::coordination
