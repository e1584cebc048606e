#include "storage/journal_records.hpp"

namespace poppystile::storage {

using protocol::DecodeError;
using protocol::need_count;
using protocol::need_list;

namespace {

// The form of the journal. The first version's records had none of it and other keys.
constexpr std::uint64_t form = 2;

// Areas of keys that snapshots use in turn.
constexpr std::uint64_t snapshot_areas = 2;

void check_form(const Json& value) {
  if (!value.is_object()) throw DecodeError("record is not an object");
  if (need_count(value, "v") != form) throw DecodeError("record of an unknown form");
}

}  // namespace

std::string segment_key(std::uint64_t slot) {
  return keys::journal_segments + std::to_string(slot);
}

std::string snapshot_key(std::uint64_t generation, std::uint64_t chunk) {
  return keys::journal_snapshots + std::to_string(generation % snapshot_areas) + "/" +
         std::to_string(chunk);
}

std::string encode_chunk(std::uint64_t number, std::uint64_t token,
                         const std::vector<std::string>& entries) {
  // The entries are valid JSON texts already; only the list around them is written here.
  const std::string frame = Json{{"v", form}, {"n", number}, {"t", token}}.dump();
  std::string out = frame.substr(0, frame.size() - 1) + ",\"e\":[";
  for (std::size_t i = 0; i < entries.size(); ++i) {
    if (i > 0) out += ',';
    out += entries[i];
  }
  return out + "]}";
}

JournalChunk decode_chunk(const Json& value) {
  check_form(value);
  JournalChunk out{need_count(value, "n"), need_count(value, "t"), {}};
  for (const Json& each : need_list(value, "e")) out.entries.push_back(each);
  return out;
}

Json encode(const JournalHead& head) {
  return {{"v", form},
          {"gen", head.generation},
          {"parts", head.snapshot_chunks},
          {"from", head.first_segment}};
}

JournalHead decode_head(const Json& value) {
  check_form(value);
  return {need_count(value, "gen"), need_count(value, "parts"), need_count(value, "from")};
}

}  // namespace poppystile::storage
