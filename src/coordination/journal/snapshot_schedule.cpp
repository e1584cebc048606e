#include "coordination/journal/snapshot_schedule.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "constants.hpp"

namespace poppystile::coordination {

void SnapshotSchedule::begin_term(const storage::JournalHead& head, std::size_t segment_bytes) {
  abandon();
  head_ = head;
  snapshot_bytes_ = 0;
  segment_bytes_ = segment_bytes;
}

void SnapshotSchedule::abandon() {
  chunks_.clear();
  next_head_.reset();
}

bool SnapshotSchedule::is_due(std::uint64_t next_segment) const {
  if (next_head_) return false;
  const std::size_t max_bytes =
      std::max(constants::min_journal_bytes_before_snapshot,
               constants::segment_bytes_per_snapshot_byte * snapshot_bytes_);
  return segment_bytes_ >= max_bytes || segments_since(next_segment) >= max_segments_since() / 2;
}

void SnapshotSchedule::start(const std::vector<std::vector<std::string>>& groups,
                             std::uint64_t first_segment, std::uint64_t token) {
  next_head_ = storage::JournalHead{head_.generation + 1, 0, first_segment};
  segment_bytes_ = 0;
  snapshot_bytes_ = 0;
  for (const auto& entries : groups) {
    JournalRecord chunk;
    chunk.number = next_head_->generation;
    chunk.key = storage::snapshot_key(chunk.number, next_head_->snapshot_chunks++);
    chunk.value = storage::encode_chunk(chunk.number, token, entries);
    snapshot_bytes_ += chunk.value.size();
    chunks_.push_back(std::move(chunk));
  }
}

JournalRecord SnapshotSchedule::next_head_record() const {
  JournalRecord record;
  record.key = storage::keys::journal_head;
  record.value = storage::encode(*next_head_).dump();
  record.number = next_head_->generation;
  return record;
}

void SnapshotSchedule::on_head_committed() {
  head_ = *next_head_;
  next_head_.reset();
  spdlog::debug("journal snapshot committed generation={} chunks={} bytes={}", head_.generation,
                head_.snapshot_chunks, snapshot_bytes_);
}

std::uint64_t SnapshotSchedule::max_segments_since() const {
  const std::uint64_t chunks = next_head_ ? next_head_->snapshot_chunks : head_.snapshot_chunks;
  return std::clamp(constants::segments_per_snapshot_chunk * chunks,
                    constants::min_segments_after_snapshot, constants::journal_ring_segments);
}

std::size_t SnapshotSchedule::max_chunks_per_write() const {
  const std::uint64_t writes = max_segments_since() / 4;
  const std::uint64_t chunks = next_head_ ? next_head_->snapshot_chunks : 0;
  return std::max<std::size_t>(constants::min_snapshot_chunks_per_write,
                               (chunks + writes - 1) / writes);
}

}  // namespace poppystile::coordination
