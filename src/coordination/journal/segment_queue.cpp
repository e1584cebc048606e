#include "coordination/journal/segment_queue.hpp"

#include <utility>

#include "constants.hpp"
#include "storage/journal_records.hpp"

namespace poppystile::coordination {

void SegmentQueue::begin_term(std::uint64_t next_number) {
  clear();
  appended_position_ = 0;
  next_number_ = next_number;
}

void SegmentQueue::clear() {
  unsealed_.clear();
  segments_.clear();
}

std::uint64_t SegmentQueue::append(storage::JournalEntry entry, std::size_t max_elements) {
  if (unsealed_.empty() || !storage::merge_entries(unsealed_.back(), entry, max_elements))
    unsealed_.push_back(std::move(entry));
  return ++appended_position_;
}

std::size_t SegmentQueue::seal(std::uint64_t token, std::size_t max_bytes,
                               std::uint64_t committed_position) {
  std::size_t bytes = 0;
  for (const auto& entries : group_by_record_size(std::exchange(unsealed_, {}), max_bytes)) {
    JournalRecord segment;
    segment.number = next_number_++;
    segment.key = storage::segment_key(segment.number % constants::journal_ring_segments);
    segment.value = storage::encode_chunk(segment.number, token, entries);
    segment.log_position = committed_position;
    bytes += segment.value.size();
    segments_.push_back(std::move(segment));
  }
  if (!segments_.empty()) segments_.back().log_position = appended_position_;
  return bytes;
}

}  // namespace poppystile::coordination
