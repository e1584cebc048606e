#include "protocol/state_messages.hpp"

namespace poppystile::protocol {

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
  // Values are JSON text already, so the body is put together around them.
  std::string out = R"({"when":[)";
  for (std::size_t i = 0; i < transaction.conditions.size(); ++i) {
    const auto& each = transaction.conditions[i];
    out += (i == 0 ? "" : ",") + Json{{"key", each.key}, {"stamp", each.version}}.dump();
  }
  out += R"(],"apply":[)";
  for (std::size_t i = 0; i < transaction.changes.size(); ++i) {
    const auto& each = transaction.changes[i];
    if (i > 0) out += ",";
    if (!each.value) {
      out += Json{{"remove", each.key}}.dump();
      continue;
    }
    out += R"({"write":)" + Json(each.key).dump() + R"(,"data":)" + *each.value;
    if (each.lease != 0) out += R"(,"pass":)" + std::to_string(each.lease);
    out += "}";
  }
  return out + "]}";
}

std::string encode_lease_request(std::chrono::milliseconds ttl) {
  return Json{{"ttl_ms", ttl.count()}}.dump();
}

std::uint64_t parse_lease(const std::string& body) {
  return need_count(parse_object(body), "pass");
}

std::uint64_t parse_revision(const std::string& body) {
  return need_count(parse_object(body), "epoch");
}

std::vector<std::string> parse_failed_keys(const std::string& body) {
  const Json root = parse_object(body);
  std::vector<std::string> out;
  for (const Json& each : need_list(root, "failed")) out.push_back(as_text(each, "failed"));
  return out;
}

namespace {
Entry entry_of(const Json& each) {
  return {need_text(each, "key"), need(each, "data"), need_count(each, "stamp")};
}
}  // namespace

Entry parse_entry(const std::string& body) { return entry_of(parse_object(body)); }

EntryPage parse_entries(const std::string& body) {
  const Json root = parse_object(body);
  EntryPage out;
  for (const Json& each : need_list(root, "entries")) out.entries.push_back(entry_of(each));
  out.more = need_flag(root, "more");
  out.revision = need_count(root, "epoch");
  return out;
}

WatchPage parse_watch(const std::string& body) {
  const Json root = parse_object(body);
  WatchPage out;
  out.revision = need_count(root, "epoch");
  for (const Json& each : need_list(root, "log")) {
    const Json* written = find(each, "write");
    if (written != nullptr) {
      out.events.push_back(
          {as_text(*written, "write"), need(each, "data"), need_count(each, "stamp")});
    } else {
      out.events.push_back({need_text(each, "remove"), std::nullopt, need_count(each, "stamp")});
    }
  }
  return out;
}

bool names_expired_lease(const std::string& body) {
  return body.find("no such lease") != std::string::npos;
}

}  // namespace poppystile::protocol
