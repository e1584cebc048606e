#include "storage/journal_records.hpp"

namespace poppystile::storage {

using protocol::DecodeError;
using protocol::need_count;
using protocol::need_list;

namespace {

// Version of the journal's format. The first program version had no journal and used other keys.
constexpr std::uint64_t format_version = 2;

// Areas of keys that consecutive snapshots use in turn.
constexpr std::uint64_t snapshot_areas = 2;

void check_format_version(const Json& value) {
  if (!value.is_object()) throw DecodeError("journal record is not an object");
  if (need_count(value, "v") != format_version)
    throw DecodeError("journal record has an unknown format version");
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
  // The entries are JSON text already, so they are inserted as they are.
  const std::string header = Json{{"v", format_version}, {"n", number}, {"t", token}}.dump();
  std::string result = header.substr(0, header.size() - 1) + ",\"e\":[";
  for (std::size_t i = 0; i < entries.size(); ++i) {
    if (i > 0) result += ',';
    result += entries[i];
  }
  return result + "]}";
}

JournalChunk decode_chunk(const Json& value) {
  check_format_version(value);
  JournalChunk result{need_count(value, "n"), need_count(value, "t"), {}};
  for (const Json& each : need_list(value, "e")) result.entries.push_back(each);
  return result;
}

Json encode(const JournalHead& head) {
  return {{"v", format_version},
          {"gen", head.generation},
          {"parts", head.snapshot_chunks},
          {"from", head.first_segment}};
}

JournalHead decode_head(const Json& value) {
  check_format_version(value);
  return {need_count(value, "gen"), need_count(value, "parts"), need_count(value, "from")};
}

}  // namespace poppystile::storage
