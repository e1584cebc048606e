#include "protocol/state_messages.hpp"

#include "protocol/wire_names.hpp"

namespace poppystile::protocol {

namespace {

// Fields that only one message has.
constexpr const char* failed_keys_field = "failed";
constexpr const char* lease_ttl_field = "ttl_ms";

// Text of the state service's error response about an unknown lease.
constexpr const char* unknown_lease_text = "no such lease";

std::string field_prefix(const char* name) {
  std::string out = "\"";
  out += name;
  out += "\":";
  return out;
}

std::string encode_condition(const Condition& condition) {
  return Json{{wire::key, condition.key}, {wire::version, condition.version}}.dump();
}

// Values are JSON text already, so the change is concatenated instead of built as a Json object.
std::string encode_change(const Change& change) {
  if (!change.value) return Json{{wire::remove, change.key}}.dump();
  std::string out = "{";
  out += field_prefix(wire::write);
  out += Json(change.key).dump();
  out += ',';
  out += field_prefix(wire::value);
  out += *change.value;
  if (change.lease != 0) {
    out += ',';
    out += field_prefix(wire::lease);
    out += std::to_string(change.lease);
  }
  out += '}';
  return out;
}

template <typename Item>
std::string encode_list(const std::vector<Item>& items, std::string (*encode)(const Item&)) {
  std::string out = "[";
  for (const auto& item : items) {
    if (out.size() > 1) out += ",";
    out += encode(item);
  }
  return out + "]";
}

Entry parse_entry_object(const Json& object) {
  return {need_text(object, wire::key), need(object, wire::value),
          need_count(object, wire::version)};
}

WatchEvent parse_watch_event(const Json& object) {
  if (find(object, wire::write) == nullptr)
    return {need_text(object, wire::remove), std::nullopt, need_count(object, wire::version)};
  return {need_text(object, wire::write), need(object, wire::value),
          need_count(object, wire::version)};
}

}  // namespace

std::string key_path(const std::string& key) { return "/keys/" + key; }

std::string list_keys_path(const std::string& prefix, const std::string& after, int limit) {
  std::string path = "/keys?prefix=" + prefix;
  if (!after.empty()) path += "&from=" + after;
  return path + "&page=" + std::to_string(limit);
}

std::string renew_path(std::uint64_t lease) {
  return std::string(leases_path) + "/" + std::to_string(lease) + "/touch";
}

std::string watch_path(const std::string& prefix, std::uint64_t after, int wait_ms) {
  return "/follow?prefix=" + prefix + "&from=" + std::to_string(after) +
         "&hold_ms=" + std::to_string(wait_ms);
}

std::string encode_transaction(const Transaction& transaction) {
  std::string out = "{";
  out += field_prefix("when");
  out += encode_list(transaction.conditions, encode_condition);
  out += ',';
  out += field_prefix("apply");
  out += encode_list(transaction.changes, encode_change);
  out += '}';
  return out;
}

std::string encode_lease_request(std::chrono::milliseconds ttl) {
  return Json{{lease_ttl_field, ttl.count()}}.dump();
}

std::uint64_t parse_lease(const std::string& body) {
  return need_count(parse_object(body), wire::lease);
}

std::uint64_t parse_revision(const std::string& body) {
  return need_count(parse_object(body), wire::revision);
}

std::vector<std::string> parse_failed_keys(const std::string& body) {
  return need_texts(parse_object(body), failed_keys_field);
}

Entry parse_entry(const std::string& body) { return parse_entry_object(parse_object(body)); }

EntryPage parse_entries(const std::string& body) {
  const Json root = parse_object(body);
  EntryPage out;
  for (const Json& item : need_list(root, "entries"))
    out.entries.push_back(parse_entry_object(item));
  out.more = need_flag(root, wire::more);
  out.revision = need_count(root, wire::revision);
  return out;
}

WatchPage parse_watch(const std::string& body) {
  const Json root = parse_object(body);
  WatchPage out;
  out.revision = need_count(root, wire::revision);
  for (const Json& item : need_list(root, "log")) out.events.push_back(parse_watch_event(item));
  return out;
}

bool reports_expired_lease(const std::string& body) {
  return body.find(unknown_lease_text) != std::string::npos;
}

}  // namespace poppystile::protocol
