#include "coordination/journal/journal_writer.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <memory>
#include <utility>

#include "constants.hpp"
#include "storage/journal_codec.hpp"
#include "storage/journal_replay.hpp"

namespace poppystile::coordination {

namespace keys = storage::keys;
using storage::JournalEntry;
using storage::JournalHead;
using storage::Json;
using storage::ReplayedState;

JournalWriter::JournalWriter(transport::Runtime& runtime, KeyValueClient& key_value_client,
                             LeaderElection& election, const protocol::Settings& settings)
    : runtime_(runtime),
      key_value_client_(key_value_client),
      election_(election),
      settings_(settings) {}

void JournalWriter::end_term() {
  ++term_;
  open_ = write_in_flight_ = false;
  pending_.clear();
  segments_.clear();
  snapshot_chunks_.clear();
  batch_.clear();
  versions_.clear();
  next_head_.reset();
}

void JournalWriter::later(std::function<void()> action) {
  runtime_.after(constants::state_retry_pause, [this, term = term_, action = std::move(action)] {
    if (term == term_) action();
  });
}

// --- reading ---

void JournalWriter::load(std::function<void(std::optional<ReplayedState>)> done) {
  end_term();
  appended_position_ = committed_position_ = 0;
  snapshot_bytes_ = segment_bytes_since_snapshot_ = 0;
  head_ = {};
  next_number_ = 1;
  list(std::move(done));
}

// Only the leader writes here, so the pages of a listing fit together.
void JournalWriter::list(std::function<void(std::optional<ReplayedState>)> done) {
  key_value_client_.list_all(
      keys::journal, RequestPriority::journal,
      [this, term = term_, done = std::move(done)](CallStatus outcome,
                                                   const protocol::EntryPage& page) {
        if (term != term_) return;
        if (outcome != CallStatus::ok) return later([this, done] { list(done); });
        storage::JournalReplay reader;
        std::optional<ReplayedState> replayed;
        try {
          for (const auto& each : page.entries) versions_[each.key] = each.version;
          for (const auto& each : page.entries) reader.add(each.key, each.value);
          replayed = reader.replay();
        } catch (const protocol::DecodeError& problem) {
          // Never read as "nothing is placed": the caller has to wait until
          // nothing can be.
          spdlog::error("journal not understood why=\"{}\"", problem.what());
          return done(std::nullopt);
        }
        if (reader.empty()) return check_for_legacy_records(done);
        head_ = reader.head();
        next_number_ = std::max(reader.last_segment() + 1, head_.first_segment);
        // Its size is not told by the parts alone; the next snapshot sets
        // it.
        segment_bytes_since_snapshot_ = constants::min_journal_bytes_before_snapshot / 2;
        open_ = true;
        done(std::move(replayed));
      });
}

void JournalWriter::check_for_legacy_records(
    const std::function<void(std::optional<ReplayedState>)>& done) {
  key_value_client_.list_all(
      keys::legacy_machines, RequestPriority::journal,
      [this, term = term_, done](CallStatus outcome, const protocol::EntryPage& page) {
        if (term != term_) return;
        if (outcome != CallStatus::ok) return later([this, done] { list(done); });
        if (!page.entries.empty()) {
          spdlog::error("placements of the first version found records={}", page.entries.size());
          for (const auto& each : page.entries) versions_[each.key] = each.version;
          return done(std::nullopt);
        }
        open_ = true;
        done(ReplayedState{});
      });
}

void JournalWriter::reset(const std::function<void()>& done) {
  if (versions_.empty()) {
    head_ = {};
    next_number_ = 1;
    open_ = true;
    return done();
  }
  protocol::Transaction transaction;
  transaction.conditions.push_back(election_.fence());
  std::vector<std::string> removed;
  for (const auto& [key, version] : versions_) {
    if (removed.size() == settings_.state_limits.max_changes()) break;
    removed.push_back(key);
    transaction.changes.push_back({key, {}, 0});
  }
  key_value_client_.compare_and_swap(
      transaction, RequestPriority::journal,
      [this, term = term_, removed, done](const TransactionResult& result) {
        if (term != term_) return;
        if (result.status == CallStatus::conflict)
          return election_.step_down("a write found another leader");
        if (result.status != CallStatus::ok) return later([this, done] { reset(done); });
        for (const auto& key : removed) versions_.erase(key);
        reset(done);
      });
}

// --- writing ---

storage::EntryLimits JournalWriter::entry_limits() const {
  const std::size_t max_bytes = settings_.state_limits.max_value_bytes();
  const double hex_digits = constants::bitmap_value_share * static_cast<double>(max_bytes);
  return {
      std::clamp<std::size_t>(max_bytes / constants::journal_run_bytes, 1,
                              constants::max_journal_entry_runs),
      // Whole hex digits of four tasks each.
      std::clamp<std::size_t>(4 * static_cast<std::size_t>(hex_digits), 4,
                              constants::max_bitmap_chunk_tasks),
  };
}

std::uint64_t JournalWriter::append(JournalEntry entry) {
  if (pending_.empty() ||
      !storage::merge_entries(pending_.back(), entry, entry_limits().max_elements))
    pending_.push_back(std::move(entry));
  return ++appended_position_;
}

// The texts of entries, in groups that fit a record each.
std::vector<std::vector<std::string>> JournalWriter::group_by_record_size(
    const std::vector<JournalEntry>& entries) const {
  std::vector<std::vector<std::string>> out;
  std::size_t bytes = 0;
  for (const JournalEntry& each : entries) {
    std::string text = storage::encode(each).dump();
    if (out.empty() || bytes + text.size() > settings_.state_limits.max_value_bytes()) {
      out.emplace_back();
      bytes = 0;
    }
    bytes += text.size() + 1;
    out.back().push_back(std::move(text));
  }
  return out;
}

// Puts what is pending into numbered segments.
void JournalWriter::seal_segments() {
  for (const auto& texts : group_by_record_size(std::exchange(pending_, {}))) {
    Record segment;
    segment.number = next_number_++;
    segment.key = storage::segment_key(segment.number % constants::journal_ring);
    segment.value = storage::encode_chunk(segment.number, election_.token(), texts);
    segment.log_position = committed_position_;
    segment_bytes_since_snapshot_ += segment.value.size();
    segments_.push_back(std::move(segment));
  }
  // Only the last segment of a cut holds all of the cut's marks.
  if (!segments_.empty()) segments_.back().log_position = appended_position_;
}

// A snapshot describes everything appended so far. Reading goes on after it with the first segment
// that has not landed: entries that it covers are then replayed once more, in their order, which
// changes nothing. So it waits for no segment, and a ring that is full can always be freed.
void JournalWriter::maybe_start_snapshot() {
  if (next_head_ || !on_snapshot_) return;
  const std::size_t most_bytes =
      std::max(constants::min_journal_bytes_before_snapshot,
               constants::segment_bytes_per_snapshot_byte * snapshot_bytes_);
  if (segment_bytes_since_snapshot_ < most_bytes &&
      segments_since_snapshot() < max_segments_since_snapshot() / 2)
    return;
  next_head_ = JournalHead{head_.generation + 1, 0,
                           segments_.empty() ? next_number_ : segments_.front().number};
  segment_bytes_since_snapshot_ = 0;
  snapshot_bytes_ = 0;
  for (const auto& texts : group_by_record_size(on_snapshot_())) {
    Record part;
    part.number = next_head_->generation;
    part.key = storage::snapshot_key(part.number, next_head_->snapshot_chunks++);
    part.value = storage::encode_chunk(part.number, election_.token(), texts);
    snapshot_bytes_ += part.value.size();
    snapshot_chunks_.push_back(std::move(part));
  }
}

std::uint64_t JournalWriter::max_segments_since_snapshot() const {
  const std::uint64_t parts = next_head_ ? next_head_->snapshot_chunks : head_.snapshot_chunks;
  return std::clamp(constants::open_segments_per_chunk * parts, constants::min_open_segments,
                    constants::journal_ring);
}

// Of the segments that are left when a snapshot begins, half may be used up until it has landed.
std::size_t JournalWriter::snapshot_chunks_per_write() const {
  const std::uint64_t writes = max_segments_since_snapshot() / 4;
  const std::uint64_t parts = next_head_ ? next_head_->snapshot_chunks : 0;
  return std::max<std::size_t>(constants::min_snapshot_chunks_per_write,
                               (parts + writes - 1) / writes);
}

void JournalWriter::fill_batch() {
  maybe_start_snapshot();
  if (segments_.empty()) seal_segments();
  std::size_t bytes = 0;
  const std::size_t most = settings_.state_limits.max_changes();
  const auto take = [&](std::deque<Record>& from) {
    bytes += from.front().value.size();
    batch_.push_back(std::move(from.front()));
    from.pop_front();
  };
  const auto fits = [&](const Record& next) {
    return batch_.empty() ||
           (batch_.size() < most && bytes + next.value.size() <= constants::max_transaction_bytes);
  };
  // The ring's oldest segments are needed until the next snapshot counts.
  while (!segments_.empty() && fits(segments_.front()) &&
         segments_.front().number - head_.first_segment < max_segments_since_snapshot())
    take(segments_);
  const std::size_t parts_a_write = snapshot_chunks_per_write();
  for (std::size_t i = 0;
       i < parts_a_write && !snapshot_chunks_.empty() && fits(snapshot_chunks_.front()); ++i)
    take(snapshot_chunks_);
  // The head counts only with every part: landed, or in the same transaction.
  if (!next_head_ || !snapshot_chunks_.empty() || batch_.size() >= most) return;
  Record record;
  record.key = keys::journal_head;
  record.value = storage::encode(*next_head_).dump();
  record.number = next_head_->generation;
  batch_.push_back(std::move(record));
}

void JournalWriter::pump() {
  if (!open_ || write_in_flight_ || runtime_.now() < next_send_at_) return;
  if (batch_.empty()) fill_batch();
  if (!batch_.empty()) send();
}

void JournalWriter::send() {
  protocol::Transaction transaction;
  transaction.conditions.push_back(election_.fence());
  for (const auto& each : batch_) {
    const auto version = versions_.find(each.key);
    transaction.conditions.push_back({each.key, version == versions_.end() ? 0 : version->second});
    transaction.changes.push_back({each.key, each.value, 0});
  }
  write_in_flight_ = true;
  const Seconds pause{
      std::max(1 / constants::journal_rate_share,
               static_cast<double>(batch_.size()) / constants::journal_change_share) /
      settings_.state_limits.write_rps};
  next_send_at_ = runtime_.now() + pause;
  key_value_client_.compare_and_swap(transaction, RequestPriority::journal,
                                     [this, term = term_](const TransactionResult& result) {
                                       if (term == term_) on_write_result(result);
                                     });
}

void JournalWriter::on_write_result(const TransactionResult& result) {
  write_in_flight_ = false;
  if (result.status == CallStatus::ok) return commit_batch(result.revision);
  // The same again would be refused again: a successor begins with a snapshot of its own.
  if (result.status == CallStatus::invalid)
    return election_.step_down("the state service refuses the journal");
  if (result.status != CallStatus::conflict) {
    // Also when nobody knows whether it was carried out: the same again, word for word.
    next_send_at_ = std::max(next_send_at_, runtime_.now() + constants::journal_retry_pause);
    return;
  }
  if (!election_.step_down_if_deposed(result)) verify_batch_committed();
}

// A version had moved: an earlier try of this very batch must have been carried out after all.
void JournalWriter::verify_batch_committed() {
  write_in_flight_ = true;
  key_value_client_.get(
      batch_.front().key, RequestPriority::journal,
      [this, term = term_](CallStatus outcome, std::optional<protocol::Entry> entry) {
        if (term != term_) return;
        write_in_flight_ = false;
        if (outcome != CallStatus::ok) return;  // the next try conflicts again
        if (!entry || entry->value != Json::parse(batch_.front().value, nullptr, false))
          return election_.step_down("the journal has moved");
        commit_batch(entry->version);
      });
}

void JournalWriter::commit_batch(std::uint64_t revision) {
  for (const auto& each : batch_) {
    versions_[each.key] = revision;
    committed_position_ = std::max(committed_position_, each.log_position);
    if (each.key == keys::journal_head) {
      head_ = *next_head_;
      next_head_.reset();
      spdlog::debug("journal snapshot generation={} parts={} bytes={}", head_.generation,
                    head_.snapshot_chunks, snapshot_bytes_);
    }
  }
  batch_.clear();
  if (on_committed_) on_committed_();
}

}  // namespace poppystile::coordination
