#include "storage/records.hpp"

namespace poppystile::storage {

using protocol::DecodeError;
using protocol::need;
using protocol::need_amount;
using protocol::need_count;
using protocol::need_flag;
using protocol::need_text;

namespace {

constexpr std::uint64_t version = 1;

void check_version(const Json& value) {
  if (!value.is_object()) throw DecodeError("stored record is not an object");
  if (need_count(value, "v") != version) throw DecodeError("stored record has an unknown version");
}

}  // namespace

Json encode(const LeaderRecord& record) {
  return {{"v", version}, {"name", record.name}, {"token", record.token}};
}

LeaderRecord decode_leader(const Json& value) {
  check_version(value);
  return {need_text(value, "name"), need_count(value, "token")};
}

Json encode_token(std::uint64_t token) { return {{"v", version}, {"token", token}}; }

std::uint64_t decode_token(const Json& value) {
  check_version(value);
  return need_count(value, "token");
}

Json encode(const JobRecord& record) {
  return {{"v", version},
          {"job", protocol::encode_submission(record.spec)},
          {"at", to_unix_seconds(record.accepted_at)},
          {"cancelled", record.cancelled}};
}

Json encode_cancelled(JobRecord record, std::size_t max_bytes) {
  record.cancelled = true;
  Json value = encode(record);
  if (value.dump().size() <= max_bytes) return value;
  record.spec.types.reset();
  return encode(record);
}

JobRecord decode_job(const Json& value) {
  check_version(value);
  return {protocol::parse_submission(need(value, "job")),
          WallTime{Seconds{need_amount(value, "at")}}, need_flag(value, "cancelled")};
}

Json encode_final_state(protocol::JobState state) {
  return {{"v", version}, {"done", state == protocol::JobState::done}};
}

protocol::JobState decode_final_state(const Json& value) {
  check_version(value);
  return need_flag(value, "done") ? protocol::JobState::done : protocol::JobState::cancelled;
}

Json encode_catalog(const std::vector<protocol::MachineType>& types) {
  Json value = protocol::encode_catalog(types);
  value["v"] = version;
  return value;
}

std::vector<protocol::MachineType> decode_catalog(const Json& value) {
  check_version(value);
  return protocol::parse_catalog(value);
}

}  // namespace poppystile::storage
