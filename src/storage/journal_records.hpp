/// \file
/// The journal's records in the state service: segments, chunks of snapshots, and the head that
/// tells which snapshot counts.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "storage/records.hpp"

namespace poppystile::storage {

/// A numbered part of the journal: a segment, or a chunk of a snapshot.
struct JournalChunk {
  std::uint64_t number = 0;   // of the segment; of a snapshot's chunk: the snapshot's generation
  std::uint64_t token = 0;    // fencing token of the leader that wrote it
  std::vector<Json> entries;  // not decoded: what lies before the snapshot is never looked at
};

/// Which snapshot counts, and where reading goes on after it.
struct JournalHead {
  std::uint64_t generation = 0;  // of the snapshot; 0: there is none
  std::uint64_t snapshot_chunks = 0;
  std::uint64_t first_segment = 1;  // the first that is to be read after the snapshot
};

/// The key of a segment; `slot` is its place in the ring of keys.
std::string segment_key(std::uint64_t slot);

/// The key of a snapshot's chunk. Two areas take turns, so that a snapshot under way never touches
/// the one that counts.
std::string snapshot_key(std::uint64_t generation, std::uint64_t chunk);

/// The value of a segment or of a snapshot's chunk. `entries` are texts of encoded entries, which
/// are joined without being parsed again.
std::string encode_chunk(std::uint64_t number, std::uint64_t token,
                         const std::vector<std::string>& entries);

/// Throws `DecodeError`, also for a form that it does not know; leaves the entries as they are.
JournalChunk decode_chunk(const Json& value);

/// The value of the head's record.
Json encode(const JournalHead& head);

/// Throws `DecodeError`, also for a form that it does not know.
JournalHead decode_head(const Json& value);

}  // namespace poppystile::storage
