#include "coordination/journal/journal_writer.hpp"

#include <algorithm>
#include <utility>

#include "constants.hpp"

namespace poppystile::coordination {

namespace keys = storage::keys;
using storage::JournalEntry;
using storage::Json;
using storage::ReplayedState;

JournalWriter::JournalWriter(transport::Runtime& runtime, KeyValueClient& key_value_client,
                             LeaderElection& election, const protocol::Settings& settings)
    : runtime_(runtime),
      key_value_client_(key_value_client),
      election_(election),
      settings_(settings),
      reader_(runtime, key_value_client) {}

// --- terms ---

void JournalWriter::end_term() {
  scope_.end();
  reader_.cancel();
  open_ = write_in_flight_ = false;
  queue_.clear();
  snapshots_.abandon();
  batch_.clear();
  versions_.clear();
}

void JournalWriter::open(const storage::JournalHead& head, std::uint64_t next_segment,
                         std::size_t segment_bytes) {
  queue_.begin_term(next_segment);
  snapshots_.begin_term(head, segment_bytes);
  open_ = true;
}

void JournalWriter::load(std::function<void(std::optional<ReplayedState>)> done) {
  end_term();
  committed_position_ = 0;
  reader_.load([this, done = std::move(done)](LoadResult result) {
    if (!result) {
      versions_ = std::move(result.error().versions);
      return done(std::nullopt);
    }
    versions_ = std::move(result->versions);
    // The head does not contain the size of the segments, so half of the smallest size at which a
    // snapshot is due is assumed. The next snapshot resets the size.
    const std::size_t segment_bytes =
        result->is_empty ? 0 : constants::min_journal_bytes_before_snapshot / 2;
    open(result->head, result->next_segment, segment_bytes);
    done(std::move(result->state));
  });
}

void JournalWriter::reset(const std::function<void()>& done) {
  if (versions_.empty()) {
    open({}, 1, 0);
    return done();
  }
  protocol::Transaction transaction;
  transaction.conditions.push_back(election_.fence());
  std::vector<std::string> removed_keys;
  for (const auto& [key, version] : versions_) {
    if (removed_keys.size() == settings_.state_limits.max_changes()) break;
    removed_keys.push_back(key);
    transaction.changes.push_back({key, {}, 0});
  }
  key_value_client_.compare_and_swap(
      transaction, RequestPriority::journal,
      scope_.wrap([this, removed_keys, done](const TransactionResult& result) {
        if (result.status == CallStatus::conflict)
          return election_.step_down("a conditional write failed on the leader key");
        if (result.status != CallStatus::ok) {
          runtime_.after(constants::state_retry_pause, scope_.wrap([this, done] { reset(done); }));
          return;
        }
        for (const auto& key : removed_keys) versions_.erase(key);
        reset(done);
      }));
}

// --- appending ---

storage::EntryLimits JournalWriter::entry_limits() const {
  return coordination::entry_limits(settings_.state_limits);
}

std::uint64_t JournalWriter::append(JournalEntry entry) {
  return queue_.append(std::move(entry), entry_limits().max_elements);
}

std::uint64_t JournalWriter::segments_since_snapshot() const {
  return snapshots_.segments_since(queue_.next_number());
}

// --- batches ---

// A snapshot covers all entries appended so far, including those in segments that are not written
// yet. Replay continues after the snapshot with the first of these segments, so entries that the
// snapshot covers are replayed again, in order, which has no effect. A snapshot therefore never
// waits for a segment, so that it can free a full ring.
void JournalWriter::maybe_start_snapshot() {
  if (!on_snapshot_ || !snapshots_.is_due(queue_.next_number())) return;
  snapshots_.start(group_by_record_size(on_snapshot_(), settings_.state_limits.max_value_bytes()),
                   queue_.first_queued(), election_.token());
}

void JournalWriter::seal_segments() {
  if (!queue_.segments().empty()) return;
  snapshots_.on_segment_sealed(queue_.seal(
      election_.token(), settings_.state_limits.max_value_bytes(), committed_position_));
}

void JournalWriter::fill_batch() {
  maybe_start_snapshot();
  seal_segments();
  take_segments();
  take_snapshot();
}

void JournalWriter::take_segments() {
  auto& segments = queue_.segments();
  const std::size_t max_changes = settings_.state_limits.max_changes();
  // The oldest segments in the ring must not be overwritten until the next snapshot is committed.
  while (!segments.empty() && batch_.fits(segments.front(), max_changes) &&
         snapshots_.segments_since(segments.front().number) < max_segments_since_snapshot())
    batch_.take_front(segments);
}

void JournalWriter::take_snapshot() {
  auto& chunks = snapshots_.chunks();
  const std::size_t max_changes = settings_.state_limits.max_changes();
  const std::size_t max_chunks = snapshots_.max_chunks_per_write();
  for (std::size_t taken = 0;
       taken < max_chunks && !chunks.empty() && batch_.fits(chunks.front(), max_changes); ++taken)
    batch_.take_front(chunks);
  // The head may be written only after all chunks, or in the same transaction as the last of them.
  if (snapshots_.is_head_due() && batch_.records().size() < max_changes)
    batch_.add(snapshots_.next_head_record());
}

// --- writing ---

void JournalWriter::pump() {
  if (!open_ || write_in_flight_ || runtime_.now() < next_send_at_) return;
  if (batch_.empty()) fill_batch();
  if (!batch_.empty()) send();
}

void JournalWriter::send() {
  protocol::Transaction transaction;
  transaction.conditions.push_back(election_.fence());
  for (const auto& record : batch_.records()) {
    const auto version = versions_.find(record.key);
    transaction.conditions.push_back(
        {record.key, version == versions_.end() ? 0 : version->second});
    transaction.changes.push_back({record.key, record.value, 0});
  }
  write_in_flight_ = true;
  const auto changes = static_cast<double>(batch_.records().size());
  const Seconds pause{
      std::max(1 / constants::journal_rate_share, changes / constants::journal_change_share) /
      settings_.state_limits.write_rps};
  next_send_at_ = runtime_.now() + pause;
  key_value_client_.compare_and_swap(
      transaction, RequestPriority::journal,
      scope_.wrap([this](const TransactionResult& result) { on_write_result(result); }));
}

void JournalWriter::on_write_result(const TransactionResult& result) {
  write_in_flight_ = false;
  if (result.status == CallStatus::ok) return commit_batch(result.revision);
  // The same transaction would be rejected again. The next leader begins with a new snapshot.
  if (result.status == CallStatus::invalid)
    return election_.step_down("the state service rejected a journal transaction as invalid");
  if (result.status != CallStatus::conflict) {
    // Sends the identical transaction again, although the first one may have been executed: the
    // repetition then fails with a conflict, and verify_batch_committed() detects that the batch is
    // already written.
    next_send_at_ = std::max(next_send_at_, runtime_.now() + constants::journal_retry_pause);
    return;
  }
  if (!election_.step_down_if_deposed(result)) verify_batch_committed();
}

// Handles a conflict on a journal key. Since only the leader writes the journal, an earlier attempt
// to write this batch must have been executed; this reads a key back to verify it.
void JournalWriter::verify_batch_committed() {
  write_in_flight_ = true;
  key_value_client_.get(
      batch_.records().front().key, RequestPriority::journal,
      scope_.wrap([this](CallStatus status, std::optional<protocol::Entry> entry) {
        write_in_flight_ = false;
        if (status != CallStatus::ok) return;  // The next attempt conflicts again.
        const std::string& written = batch_.records().front().value;
        if (!entry || entry->value != Json::parse(written, nullptr, false))
          return election_.step_down(
              "a journal key does not hold the value that this leader wrote");
        commit_batch(entry->version);
      }));
}

void JournalWriter::commit_batch(std::uint64_t revision) {
  for (const auto& record : batch_.records()) {
    versions_[record.key] = revision;
    committed_position_ = std::max(committed_position_, record.log_position);
    if (record.key == keys::journal_head) snapshots_.on_head_committed();
  }
  batch_.clear();
  if (on_committed_) on_committed_();
}

}  // namespace poppystile::coordination
