#include "bookkeeping/records.hpp"

#include <charconv>

#include "protocol/worker_messages.hpp"

namespace poppystile::bookkeeping {

using protocol::DecodeError;
using protocol::need;
using protocol::need_amount;
using protocol::need_count;
using protocol::need_flag;
using protocol::need_list;
using protocol::need_text;

namespace {

constexpr std::uint64_t version = 1;

void check_version(const Json& value) {
  if (!value.is_object()) throw DecodeError("record is not an object");
  if (need_count(value, "v") != version) throw DecodeError("record of an unknown version");
}

}  // namespace

std::string progress_key(const std::string& job, std::uint32_t chunk) {
  return keys::progress + job + "/" + std::to_string(chunk);
}

bool parse_progress_key(const std::string& key, std::string& job, std::uint32_t& chunk) {
  return key.starts_with(keys::progress) &&
         protocol::split_task_name(key.substr(keys::progress.size()), job, chunk);
}

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
          {"at", record.accepted_wall_s},
          {"cancelled", record.cancelled}};
}

JobRecord decode_job(const Json& value) {
  check_version(value);
  return {protocol::parse_submission(need(value, "job")), need_amount(value, "at"),
          need_flag(value, "cancelled")};
}

Json encode_over(protocol::JobState state) {
  return {{"v", version}, {"done", state == protocol::JobState::done}};
}

protocol::JobState decode_over(const Json& value) {
  check_version(value);
  return need_flag(value, "done") ? protocol::JobState::done : protocol::JobState::cancelled;
}

Json encode(const MachineRecord& record) {
  Json tasks = Json::array();
  for (const auto& each : record.tasks)
    tasks.push_back(Json::array({each.job, each.index, each.attempt}));
  Json images = Json::array();
  for (const auto& each : record.images) images.push_back(Json::array({each.name, each.gb}));
  return {{"v", version},
          {"type", record.type},
          {"zone", record.zone},
          {"spot", record.spot},
          {"session", record.session},
          {"hired", record.hired_wall_s},
          {"tasks", std::move(tasks)},
          {"images", std::move(images)}};
}

MachineRecord decode_machine(const Json& value) {
  check_version(value);
  MachineRecord out{need_text(value, "type"),
                    need_text(value, "zone"),
                    need_flag(value, "spot"),
                    need_count(value, "session"),
                    need_amount(value, "hired"),
                    {},
                    {}};
  for (const Json& each : need_list(value, "tasks")) {
    if (!each.is_array() || each.size() != 3) throw DecodeError("task record is malformed");
    out.tasks.push_back({protocol::as_text(each[0], "task"),
                         static_cast<std::uint32_t>(protocol::as_count(each[1], "index")),
                         protocol::as_count(each[2], "attempt")});
  }
  for (const Json& each : need_list(value, "images")) {
    if (!each.is_array() || each.size() != 2) throw DecodeError("image record is malformed");
    out.images.push_back({protocol::as_text(each[0], "image"), protocol::as_amount(each[1], "gb")});
  }
  return out;
}

Json encode(const HireRecord& record) {
  return {{"v", version},
          {"type", record.type},
          {"zone", record.zone},
          {"spot", record.spot},
          {"count", record.count}};
}

HireRecord decode_hire(const Json& value) {
  check_version(value);
  return {need_text(value, "type"), need_text(value, "zone"), need_flag(value, "spot"),
          static_cast<int>(need_count(value, "count"))};
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

Json encode_bitmap(const std::vector<bool>& bits) {
  constexpr const char* digits = "0123456789abcdef";
  std::string text((bits.size() + 3) / 4, '0');
  for (std::size_t i = 0; i < text.size(); ++i) {
    int nibble = 0;
    for (std::size_t b = 0; b < 4 && i * 4 + b < bits.size(); ++b)
      if (bits[i * 4 + b]) nibble |= 1 << b;
    text[i] = digits[nibble];
  }
  return {{"v", version}, {"bits", std::move(text)}};
}

std::vector<bool> decode_bitmap(const Json& value) {
  check_version(value);
  const std::string text = need_text(value, "bits");
  std::vector<bool> out(text.size() * 4);
  for (std::size_t i = 0; i < text.size(); ++i) {
    unsigned nibble = 0;
    const auto [stop, error] = std::from_chars(&text[i], &text[i] + 1, nibble, 16);
    if (error != std::errc{}) throw DecodeError("bitmap is malformed");
    for (std::size_t b = 0; b < 4; ++b) out[i * 4 + b] = ((nibble >> b) & 1) != 0;
  }
  return out;
}

}  // namespace poppystile::bookkeeping
