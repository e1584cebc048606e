// The records kept in the state service: their keys, and the codec of their values.
//
// Everything that every controller needs to see sits under `shared/`, so that one watch carries
// it; what only the leader needs sits beside it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "protocol/cloud_messages.hpp"
#include "protocol/submission.hpp"

namespace poppystile::bookkeeping {

using protocol::Json;

namespace keys {
inline const std::string shared = "shared/";
inline const std::string leader = "shared/ctl/leader";
inline const std::string token = "shared/ctl/token";
inline const std::string catalog = "shared/catalog";
inline const std::string jobs = "shared/job/";
inline const std::string over = "shared/over/";
inline const std::string machines = "machine/";
inline const std::string hires = "hire/";
inline const std::string progress = "done/";
}  // namespace keys

inline std::string job_key(const std::string& id) { return keys::jobs + id; }
inline std::string over_key(const std::string& id) { return keys::over + id; }
inline std::string machine_key(const std::string& id) { return keys::machines + id; }
inline std::string hire_key(const std::string& name) { return keys::hires + name; }
std::string progress_key(const std::string& job, std::uint32_t chunk);
// Splits "done/<job>/<chunk>".
bool parse_progress_key(const std::string& key, std::string& job, std::uint32_t& chunk);

struct LeaderRecord {
  std::string name;
  std::uint64_t token = 0;
};

struct JobRecord {
  protocol::JobSpec spec;
  double accepted_wall_s = 0;
  bool cancelled = false;
};

struct RecordedTask {
  std::string job;
  std::uint32_t index = 0;
  std::uint64_t attempt = 0;
};

struct CachedImage {
  std::string name;
  double gb = 0;
};

struct MachineRecord {
  std::string type;
  std::string zone;
  bool spot = false;
  std::uint64_t session = 0;  // 0: never reported
  double hired_wall_s = 0;
  std::vector<RecordedTask> tasks;
  std::vector<CachedImage> images;  // least recently used first
};

struct HireRecord {
  std::string type;
  std::string zone;
  bool spot = false;
  int count = 0;
};

// Encoders give the value; decoders throw DecodeError, also for a version they do not know.
Json encode(const LeaderRecord& record);
Json encode(const JobRecord& record);
Json encode(const MachineRecord& record);
Json encode(const HireRecord& record);
Json encode_token(std::uint64_t token);
Json encode_over(protocol::JobState state);
Json encode_catalog(const std::vector<protocol::MachineType>& types);
LeaderRecord decode_leader(const Json& value);
JobRecord decode_job(const Json& value);
MachineRecord decode_machine(const Json& value);
HireRecord decode_hire(const Json& value);
std::uint64_t decode_token(const Json& value);
protocol::JobState decode_over(const Json& value);
std::vector<protocol::MachineType> decode_catalog(const Json& value);

// Bitmaps of finished tasks, as hexadecimal text.
Json encode_bitmap(const std::vector<bool>& bits);
std::vector<bool> decode_bitmap(const Json& value);

}  // namespace poppystile::bookkeeping
