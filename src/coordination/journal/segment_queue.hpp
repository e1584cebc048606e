/// \file
/// Entries that were appended to the journal but are in no transaction yet.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

#include "coordination/journal/journal_record.hpp"
#include "storage/journal_entry.hpp"

namespace poppystile::coordination {

/// Collects entries, merged where one can carry two, and seals them into numbered segments.
///
/// A log position counts appended entries: an entry is durable once the journal is written up to
/// the position that `append` returned.
class SegmentQueue {
 public:
  /// A new term: nothing is appended, and the next segment has this number.
  void begin_term(std::uint64_t next_number);

  /// Drops everything that is in no transaction.
  void clear();

  /// Returns the entry's log position.
  std::uint64_t append(storage::JournalEntry entry, std::size_t max_elements);

  /// Puts what was appended into segments of at most `max_bytes` of entries. Only the last of them
  /// holds all that was appended, the others are given `committed_position`. Returns the bytes of
  /// the new segments.
  std::size_t seal(std::uint64_t token, std::size_t max_bytes, std::uint64_t committed_position);

  /// The sealed segments.
  std::deque<JournalRecord>& segments() { return segments_; }

  /// The number of the first segment that is in no transaction, sealed or not.
  std::uint64_t first_queued() const {
    return segments_.empty() ? next_number_ : segments_.front().number;
  }

  /// The number of the segment that will be sealed next.
  std::uint64_t next_number() const { return next_number_; }

 private:
  std::vector<storage::JournalEntry> unsealed_;
  std::deque<JournalRecord> segments_;
  std::uint64_t appended_position_ = 0;
  std::uint64_t next_number_ = 1;
};

}  // namespace poppystile::coordination
