/// \file
/// The journal's records in the state service: segments, chunks of snapshots, and the head, which
/// names the current snapshot.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "storage/records.hpp"

namespace poppystile::storage {

/// A segment of the journal, or a chunk of a snapshot.
struct JournalChunk {
  std::uint64_t number = 0;   // Number of the segment, or generation of the snapshot.
  std::uint64_t token = 0;    // Fencing token of the leader that wrote it.
  std::vector<Json> entries;  // Not decoded yet, since outdated records are never replayed.
};

/// The current snapshot, and the segment at which replay continues after it.
struct JournalHead {
  std::uint64_t generation = 0;  // Of the current snapshot; 0: there is none.
  std::uint64_t snapshot_chunks = 0;
  std::uint64_t first_segment = 1;  // First segment to be replayed after the snapshot.
};

/// The key of a segment. `slot` is its position in the ring of keys.
std::string segment_key(std::uint64_t slot);

/// The key of a snapshot's chunk. Consecutive generations alternate between two areas of keys, so
/// that writing a new snapshot does not overwrite the current one.
std::string snapshot_key(std::uint64_t generation, std::uint64_t chunk);

/// The value of a segment or of a snapshot's chunk; `number` and `token` as in `JournalChunk`.
/// `entries` are encoded entries as JSON text, which is not validated.
std::string encode_chunk(std::uint64_t number, std::uint64_t token,
                         const std::vector<std::string>& entries);

/// Throws `DecodeError` if the record is malformed or its format version unknown. Does not decode
/// the entries.
JournalChunk decode_chunk(const Json& value);

/// The stored value of the head.
Json encode(const JournalHead& head);

/// Throws `DecodeError` if the record is malformed or its format version unknown.
JournalHead decode_head(const Json& value);

}  // namespace poppystile::storage
