// The state service's requests and answers.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "protocol/json.hpp"

namespace poppystile::protocol {

struct Entry {
  std::string key;
  Json value;
  std::uint64_t version = 0;
};

struct EntryPage {
  std::vector<Entry> entries;
  bool more = false;
  std::uint64_t revision = 0;
};

struct Condition {
  std::string key;
  std::uint64_t version = 0;  // 0: the key does not exist
};

struct Change {
  std::string key;
  std::optional<std::string> value;  // JSON text; nothing: delete
  std::uint64_t lease = 0;           // 0: none
};

struct Transaction {
  std::vector<Condition> conditions;
  std::vector<Change> changes;
};

struct WatchEvent {
  std::string key;
  std::optional<Json> value;  // nothing: deleted
  std::uint64_t version = 0;
};

struct WatchPage {
  std::vector<WatchEvent> events;
  std::uint64_t revision = 0;
};

inline constexpr const char* transaction_path = "/multi";
inline constexpr const char* leases_path = "/grants";
std::string key_path(const std::string& key);
std::string list_keys_path(const std::string& prefix, const std::string& after, int limit);
std::string renew_path(std::uint64_t lease);
std::string watch_path(const std::string& prefix, std::uint64_t after, int wait_ms);

std::string encode_transaction(const Transaction& transaction);
std::string encode_lease_request(std::chrono::milliseconds ttl);
// Parsers throw DecodeError.
std::uint64_t parse_lease(const std::string& body);
std::uint64_t parse_revision(const std::string& body);
std::vector<std::string> parse_failed_keys(const std::string& body);
/// Whether the body of a 400 says that a lease has ended: the only 400 that is not a fault of the
/// request itself.
bool names_expired_lease(const std::string& body);
Entry parse_entry(const std::string& body);
EntryPage parse_entries(const std::string& body);
WatchPage parse_watch(const std::string& body);

}  // namespace poppystile::protocol
