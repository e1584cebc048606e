/// \file
/// Grouping of journal entries into records, and of records into transactions.
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

/// A record to be written to the state service: a segment, a chunk of a snapshot, or the head.
struct JournalRecord {
  std::string key;
  std::string value;
  std::uint64_t number = 0;        // Number of the segment, or generation of the snapshot.
  std::uint64_t log_position = 0;  // Entries up to here are durable once the segment is written.
};

/// Returns the limits that one entry must observe to fit into a record under `limits`.
storage::EntryLimits entry_limits(const protocol::StateLimits& limits);

/// Encodes the entries and groups their texts so that each group fits into one record of at most
/// `max_bytes`. An entry that is longer by itself forms a group of its own.
std::vector<std::vector<std::string>> group_by_record_size(
    const std::vector<storage::JournalEntry>& entries, std::size_t max_bytes);

/// The records of one transaction. They stay unchanged until they are written, since a transaction
/// whose outcome is unknown is repeated with identical content.
class JournalBatch {
 public:
  const std::vector<JournalRecord>& records() const { return records_; }
  bool empty() const { return records_.empty(); }
  void clear();

  /// Whether the record fits into the transaction, which may have at most `max_changes` changes and
  /// `max_transaction_bytes`. Any record fits into an empty transaction.
  bool fits(const JournalRecord& next, std::size_t max_changes) const;

  void add(JournalRecord record);

  /// Moves the first record of the queue, which must not be empty, to the end of the batch.
  void take_front(std::deque<JournalRecord>& queue);

 private:
  std::vector<JournalRecord> records_;
  std::size_t bytes_ = 0;
};

}  // namespace poppystile::coordination
