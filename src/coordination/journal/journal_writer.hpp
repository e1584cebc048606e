/// \file
/// Writes the leader's journal (storage/journal_entry.hpp) to the state service.
///
/// Segments are written to a ring of keys, one transaction at a time. Each transaction is
/// conditional on the leader key and on the versions of the keys that it overwrites. A transaction
/// whose outcome is unknown is repeated with identical content until it is committed, or found to
/// have been committed. Entries are therefore stored in the order in which they were appended, and
/// a single number, the log position, defines which of them are durable.
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

/// The journal of the current leader: loads it at the beginning of a term and then appends to it.
class JournalWriter {
 public:
  /// All references must outlive the writer.
  JournalWriter(transport::Runtime& runtime, KeyValueClient& key_value_client,
                LeaderElection& election, const protocol::Settings& settings);

  /// Begins a term: reads the journal of former leaders and calls `done` with the state that its
  /// replay produces, or with `nullopt` if the journal cannot be decoded. In that case `reset` must
  /// be called, and nothing is written before it is done.
  void load(std::function<void(std::optional<storage::ReplayedState>)> done);

  /// Deletes the journal that `load` could not decode and begins an empty one, then calls `done`.
  /// Retries until the state service answers; `done` is not called if the term ends before.
  void reset(const std::function<void()>& done);

  /// Ends the term: discards all entries that are not written and ignores outstanding responses.
  void end_term();

  /// Appends an entry. Returns its log position: the entry is durable once `is_durable` returns
  /// true for this position.
  std::uint64_t append(storage::JournalEntry entry);

  /// Whether all entries up to this log position are committed, so that the next leader reads them.
  bool is_durable(std::uint64_t log_position) const { return log_position <= committed_position_; }

  /// The limits that one entry must observe under the current settings.
  storage::EntryLimits entry_limits() const;

  /// Sends the next transaction if there are records to write, none is in flight and the rate limit
  /// allows it. The leader must call it often.
  void pump();

  /// Number of segments that the next leader would have to replay after the committed snapshot.
  std::uint64_t segments_since_snapshot() const;

  /// Number of segments that may follow the committed snapshot before the next one is committed.
  std::uint64_t max_segments_since_snapshot() const { return snapshots_.max_segments_since(); }

  /// Sets the handler that runs whenever a transaction has been committed.
  void on_committed(std::function<void()> handler) { on_committed_ = std::move(handler); }

  /// Sets the function that provides the entries of a snapshot. Their replay must produce the same
  /// state as that of all entries appended so far.
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
  KeyVersions versions_;  // Versions of all keys of the journal.
  SegmentQueue queue_;
  SnapshotSchedule snapshots_;
  JournalBatch batch_;  // The records in flight, or those of the transaction to send next.
  std::uint64_t committed_position_ = 0;
  bool write_in_flight_ = false;
  SteadyTime next_send_at_;
  std::function<void()> on_committed_;
  std::function<std::vector<storage::JournalEntry>()> on_snapshot_;
};

}  // namespace poppystile::coordination
