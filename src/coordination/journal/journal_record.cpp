#include "coordination/journal/journal_record.hpp"

#include <algorithm>

#include "storage/journal_codec.hpp"

namespace poppystile::coordination {

storage::EntryLimits entry_limits(const protocol::StateLimits& limits) {
  const std::size_t max_bytes = limits.max_value_bytes();
  const double hex_digits = constants::bitmap_value_share * static_cast<double>(max_bytes);
  return {
      std::clamp<std::size_t>(max_bytes / constants::max_journal_range_bytes, 1,
                              constants::max_journal_entry_elements),
      // A multiple of four, since a hex digit holds four tasks.
      std::clamp<std::size_t>(4 * static_cast<std::size_t>(hex_digits), 4,
                              constants::max_bitmap_chunk_tasks),
  };
}

std::vector<std::vector<std::string>> group_by_record_size(
    const std::vector<storage::JournalEntry>& entries, std::size_t max_bytes) {
  std::vector<std::vector<std::string>> groups;
  std::size_t bytes = 0;
  for (const storage::JournalEntry& entry : entries) {
    std::string text = storage::encode(entry).dump();
    if (groups.empty() || bytes + text.size() > max_bytes) {
      groups.emplace_back();
      bytes = 0;
    }
    bytes += text.size() + 1;  // One byte for the comma that follows.
    groups.back().push_back(std::move(text));
  }
  return groups;
}

void JournalBatch::clear() {
  records_.clear();
  bytes_ = 0;
}

bool JournalBatch::fits(const JournalRecord& next, std::size_t max_changes) const {
  return records_.empty() || (records_.size() < max_changes &&
                              bytes_ + next.value.size() <= constants::max_transaction_bytes);
}

void JournalBatch::add(JournalRecord record) {
  bytes_ += record.value.size();
  records_.push_back(std::move(record));
}

void JournalBatch::take_front(std::deque<JournalRecord>& queue) {
  add(std::move(queue.front()));
  queue.pop_front();
}

}  // namespace poppystile::coordination
