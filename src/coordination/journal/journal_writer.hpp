// Reads and writes the leader's journal (storage/journal.hpp) in the state service.
//
// Segments go to a ring of keys, one transaction at a time, each conditional on the leader's own
// key and on the versions of the keys it overwrites. A transaction whose outcome is unknown is sent
// again word for word, until it has landed or is found to have landed: so the order of entries is
// the order in which they were appended, and what is durable is told by one number, the log
// position.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "coordination/election/leader_election.hpp"
#include "coordination/state/key_value_client.hpp"
#include "protocol/settings.hpp"
#include "storage/journal_entry.hpp"
#include "storage/journal_records.hpp"
#include "storage/replayed_state.hpp"

namespace poppystile::coordination {

class JournalWriter {
 public:
  JournalWriter(transport::Runtime& runtime, KeyValueClient& key_value_client,
                LeaderElection& election, const protocol::Settings& settings);

  // Reads what the former leaders wrote; nothing when it cannot be understood. After that,
  // `wipe` starts an empty journal in its place.
  void load(std::function<void(std::optional<storage::ReplayedState>)> done);
  void reset(const std::function<void()>& done);
  void end_term();  // this node no longer leads

  // Returns the log_position up to which the journal must land for the entry to be durable.
  std::uint64_t append(storage::JournalEntry entry);
  bool is_durable(std::uint64_t log_position) const { return log_position <= committed_position_; }
  // What one entry may carry at most, so that it fits a record.
  storage::EntryLimits entry_limits() const;
  void pump();  // called often while leading
  // Segments a successor would have to read after the snapshot.
  // Segments that may be written before the next snapshot counts.
  std::uint64_t max_segments_since_snapshot() const;
  std::uint64_t segments_since_snapshot() const { return next_number_ - head_.first_segment; }
  void on_committed(std::function<void()> handler) { on_committed_ = std::move(handler); }
  // Asked for the entries that describe everything appended so far.
  void on_snapshot(std::function<std::vector<storage::JournalEntry>()> handler) {
    on_snapshot_ = std::move(handler);
  }

 private:
  struct Record {
    std::string key;
    std::string value;
    std::uint64_t number = 0;        // of a segment, or the generation
    std::uint64_t log_position = 0;  // of a segment: everything up to here is in it
  };

  void list(std::function<void(std::optional<storage::ReplayedState>)> done);
  void check_for_legacy_records(
      const std::function<void(std::optional<storage::ReplayedState>)>& done);
  std::vector<std::vector<std::string>> group_by_record_size(
      const std::vector<storage::JournalEntry>& entries) const;
  void seal_segments();
  void maybe_start_snapshot();
  void fill_batch();
  void send();
  void on_write_result(const TransactionResult& result);
  void verify_batch_committed();
  std::size_t snapshot_chunks_per_write() const;
  void commit_batch(std::uint64_t revision);
  void later(std::function<void()> action);

  transport::Runtime& runtime_;
  KeyValueClient& key_value_client_;
  LeaderElection& election_;
  const protocol::Settings& settings_;
  std::uint64_t term_ = 0;
  bool open_ = false;
  std::unordered_map<std::string, std::uint64_t> versions_;  // of all keys of the journal
  std::vector<storage::JournalEntry> pending_;
  std::uint64_t appended_position_ = 0, committed_position_ = 0;  // marks
  std::uint64_t next_number_ = 1;
  std::deque<Record> segments_;         // cut, not in a batch yet
  std::deque<Record> snapshot_chunks_;  // of the snapshot under way
  std::vector<Record> batch_;           // in a transaction, or to be sent again
  storage::JournalHead head_;
  std::optional<storage::JournalHead> next_head_;  // of the snapshot under way
  std::size_t snapshot_bytes_ = 0;                 // of the newest snapshot
  std::size_t segment_bytes_since_snapshot_ = 0;   // of segments since it
  bool write_in_flight_ = false;
  SteadyTime next_send_at_;
  std::function<void()> on_committed_;
  std::function<std::vector<storage::JournalEntry>()> on_snapshot_;
};

}  // namespace poppystile::coordination
