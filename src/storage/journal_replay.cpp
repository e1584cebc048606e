#include "storage/journal_replay.hpp"

#include <charconv>

#include "storage/journal_codec.hpp"

namespace poppystile::storage {

using protocol::DecodeError;

namespace {

void apply_all(ReplayedState& state, const std::vector<Json>& entries) {
  for (const Json& entry : entries) state.apply(decode_entry(entry));
}

}  // namespace

void JournalReplay::add(const std::string& key, const Json& value) {
  if (key == keys::journal_head) {
    head_ = decode_head(value);
  } else if (key.starts_with(keys::journal_segments)) {
    auto segment = decode_chunk(value);
    segments_[segment.number] = std::move(segment.entries);
  } else if (key.starts_with(keys::journal_snapshots)) {
    add_snapshot_chunk(key, value);
  } else {
    throw DecodeError("journal record has an unknown key");
  }
}

void JournalReplay::add_snapshot_chunk(const std::string& key, const Json& value) {
  const auto slash = key.rfind('/');
  std::uint64_t number = 0;
  const char* end = key.data() + key.size();
  if (std::from_chars(key.data() + slash + 1, end, number).ptr != end)
    throw DecodeError("key of a journal snapshot chunk is malformed");
  auto chunk = decode_chunk(value);
  snapshots_[{chunk.number, number}] = std::move(chunk.entries);
}

ReplayedState JournalReplay::replay() const {
  ReplayedState replayed;
  if (empty()) return replayed;
  for (std::uint64_t chunk = 0; chunk < head_.snapshot_chunks; ++chunk) {
    const auto found = snapshots_.find({head_.generation, chunk});
    if (found == snapshots_.end()) throw DecodeError("chunk of the journal snapshot is missing");
    apply_all(replayed, found->second);
  }
  std::uint64_t expected = head_.first_segment;
  for (auto it = segments_.lower_bound(expected); it != segments_.end(); ++it, ++expected) {
    if (it->first != expected) throw DecodeError("journal segment is missing");
    apply_all(replayed, it->second);
  }
  return replayed;
}

}  // namespace poppystile::storage
