// The records in the state service: their keys, and how their values are encoded and decoded.
//
// Records that every controller reads have keys under `shared/`, so that one watch reports all
// their changes. State that only the leader needs is in its journal (journal_entry.hpp).
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "clock.hpp"
#include "protocol/cloud_messages.hpp"
#include "protocol/submission.hpp"
#include "protocol/user_responses.hpp"

namespace poppystile::storage {

using protocol::Json;

namespace keys {
inline const std::string shared = "shared/";
inline const std::string leader = "shared/ctl/leader";
inline const std::string token = "shared/ctl/token";
inline const std::string catalog = "shared/catalog";
inline const std::string jobs = "shared/job/";
inline const std::string final_records = "shared/over/";
inline const std::string journal = "journal/";
inline const std::string journal_head = "journal/head";
inline const std::string journal_segments = "journal/log/";
inline const std::string journal_snapshots = "journal/snap/";
// Used by the legacy storage format, which has one record for each machine.
inline const std::string legacy_machines = "machine/";
}  // namespace keys

inline std::string job_key(const std::string& id) { return keys::jobs + id; }
inline std::string final_record_key(const std::string& id) { return keys::final_records + id; }

/// The elected leader and its fencing token.
struct LeaderRecord {
  std::string name;
  std::uint64_t token = 0;
};

struct JobRecord {
  protocol::JobSpec spec;
  WallTime accepted_at;
  bool cancelled = false;
};

struct CachedImage {
  std::string name;
  double gb = 0;
};

/// A request to the cloud for `count` machines of one type.
struct RentalRecord {
  std::string type;
  std::string zone;
  bool spot = false;
  int count = 0;
};

// Encoders return the stored value. Decoders throw `DecodeError` when the value is malformed or of
// an unknown version.
Json encode(const LeaderRecord& record);
Json encode(const JobRecord& record);
/// The job's record marked as cancelled. If it would be longer than `max_bytes`, because the job
/// was stored while the value limit was higher, it omits the job's allowed machine types, which a
/// cancelled job does not need: the record can then be replaced at any limit that is supported.
Json encode_cancelled(JobRecord record, std::size_t max_bytes);
Json encode_token(std::uint64_t token);
Json encode_final_state(protocol::JobState state);
Json encode_catalog(const std::vector<protocol::MachineType>& types);
LeaderRecord decode_leader(const Json& value);
JobRecord decode_job(const Json& value);
std::uint64_t decode_token(const Json& value);
protocol::JobState decode_final_state(const Json& value);
std::vector<protocol::MachineType> decode_catalog(const Json& value);

}  // namespace poppystile::storage
