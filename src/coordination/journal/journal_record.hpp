/// \file
/// Records of the journal on their way to the state service: how entries are grouped into them, and
/// which fit into one transaction.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <utility>
#include <vector>

#include "constants.hpp"
#include "protocol/state_limits.hpp"
#include "storage/journal_entry.hpp"

namespace poppystile::coordination {

/// A record to be written: a segment, a chunk of a snapshot, or the head.
struct JournalRecord {
  std::string key;
  std::string value;
  std::uint64_t number = 0;        // of a segment; otherwise the snapshot's generation
  std::uint64_t log_position = 0;  // of a segment: everything up to here is durable with it
};

/// What one entry may carry at most, so that it fits a record under these limits.
storage::EntryLimits entry_limits(const protocol::StateLimits& limits);

/// The texts of the entries, in groups of at most `max_bytes`: each fits a record.
std::vector<std::vector<std::string>> group_by_record_size(
    const std::vector<storage::JournalEntry>& entries, std::size_t max_bytes);

/// The records of one transaction. They stay together until they are written, since a transaction
/// whose outcome is unknown is sent again word for word.
class JournalBatch {
 public:
  const std::vector<JournalRecord>& records() const { return records_; }
  bool empty() const { return records_.empty(); }
  void clear();

  /// Whether the record still fits into the transaction. Any record fits into an empty one.
  bool fits(const JournalRecord& next, std::size_t max_changes) const;

  void add(JournalRecord record);

  /// Moves the queue's first record into the batch.
  void take_front(std::deque<JournalRecord>& queue);

 private:
  std::vector<JournalRecord> records_;
  std::size_t bytes_ = 0;
};

}  // namespace poppystile::coordination
