/// \file
/// Writes the leader's journal (storage/journal_entry.hpp) to the state service.
///
/// Segments go to a ring of keys, one transaction at a time, each conditional on the leader's own
/// key and on the versions of the keys that it overwrites. A transaction whose outcome is unknown
/// is sent again word for word, until it is committed or found to be committed: so the order of
/// entries is the order in which they were appended, and what is durable is told by one number, the
/// log position.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "coordination/election/leader_election.hpp"
#include "coordination/journal/journal_reader.hpp"
#include "coordination/journal/journal_record.hpp"
#include "coordination/journal/segment_queue.hpp"
#include "coordination/journal/snapshot_schedule.hpp"
#include "coordination/state/key_value_client.hpp"
#include "coordination/term_scope.hpp"
#include "protocol/settings.hpp"
#include "storage/journal_entry.hpp"
#include "storage/replayed_state.hpp"

namespace poppystile::coordination {

class JournalWriter {
 public:
  JournalWriter(transport::Runtime& runtime, KeyValueClient& key_value_client,
                LeaderElection& election, const protocol::Settings& settings);

  /// Begins a term: reads what former leaders wrote, and passes on what replaying it gives, or
  /// nothing when it cannot be understood. In that case `reset` has to follow before anything is
  /// written.
  void load(std::function<void(std::optional<storage::ReplayedState>)> done);

  /// Removes the journal that `load` did not understand and begins an empty one; then calls `done`.
  void reset(const std::function<void()>& done);

  /// This controller no longer leads: drops what is not written, and ignores answers under way.
  void end_term();

  /// Returns the log position up to which the journal must be written for the entry to be durable.
  std::uint64_t append(storage::JournalEntry entry);

  /// Whether everything up to this log position will be found by a successor.
  bool is_durable(std::uint64_t log_position) const { return log_position <= committed_position_; }

  /// What one entry may carry at most under the present limits.
  storage::EntryLimits entry_limits() const;

  /// Sends the next transaction when there is something to write and its rate allows it; to be
  /// called often while leading.
  void pump();

  /// Segments that a successor would have to read after the snapshot.
  std::uint64_t segments_since_snapshot() const;

  /// Segments that may be written before the next snapshot counts.
  std::uint64_t max_segments_since_snapshot() const { return snapshots_.max_segments_since(); }

  /// Called when a transaction was committed.
  void on_committed(std::function<void()> handler) { on_committed_ = std::move(handler); }

  /// Called for the entries that describe everything appended so far.
  void on_snapshot(std::function<std::vector<storage::JournalEntry>()> handler) {
    on_snapshot_ = std::move(handler);
  }

 private:
  void open(const storage::JournalHead& head, std::uint64_t next_segment,
            std::size_t segment_bytes);
  void maybe_start_snapshot();
  void seal_segments();
  void fill_batch();
  void take_segments();
  void take_snapshot();
  void send();
  void on_write_result(const TransactionResult& result);
  void verify_batch_committed();
  void commit_batch(std::uint64_t revision);

  transport::Runtime& runtime_;
  KeyValueClient& key_value_client_;
  LeaderElection& election_;
  const protocol::Settings& settings_;
  JournalReader reader_;
  TermScope scope_;
  bool open_ = false;
  KeyVersions versions_;  // of all keys of the journal
  SegmentQueue queue_;
  SnapshotSchedule snapshots_;
  JournalBatch batch_;  // in a transaction, or to be sent again
  std::uint64_t committed_position_ = 0;
  bool write_in_flight_ = false;
  SteadyTime next_send_at_;
  std::function<void()> on_committed_;
  std::function<std::vector<storage::JournalEntry>()> on_snapshot_;
};

}  // namespace poppystile::coordination
