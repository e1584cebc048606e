/// \file
/// The state service's requests and responses.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "protocol/json.hpp"

namespace poppystile::protocol {

/// A key with its value.
struct Entry {
  std::string key;
  Json value;
  std::uint64_t version = 0;
};

/// One page of the keys below a prefix.
struct EntryPage {
  std::vector<Entry> entries;
  bool more = false;
  std::uint64_t revision = 0;  ///< Of the whole store, when the page was read.
};

/// What must hold for a transaction to be executed.
struct Condition {
  std::string key;
  std::uint64_t version = 0;  ///< 0: the key does not exist.
};

/// What a transaction does to one key.
struct Change {
  std::string key;
  std::optional<std::string> value;  ///< JSON text; nothing: delete.
  std::uint64_t lease = 0;           ///< With which the key ends; 0: none.
};

/// Changes that are all made if all conditions hold, and otherwise not at all.
struct Transaction {
  std::vector<Condition> conditions;
  std::vector<Change> changes;
};

/// A change of one key.
struct WatchEvent {
  std::string key;
  std::optional<Json> value;  ///< Nothing: deleted.
  std::uint64_t version = 0;
};

/// The changes up to a revision.
struct WatchPage {
  std::vector<WatchEvent> events;
  std::uint64_t revision = 0;  ///< From which to watch on.
};

inline constexpr const char* transaction_path = "/multi";
inline constexpr const char* leases_path = "/grants";
std::string key_path(const std::string& key);
/// The page of at most `limit` keys below `prefix` that follow the key `after`; empty: the first.
std::string list_keys_path(const std::string& prefix, const std::string& after, int limit);
std::string renew_path(std::uint64_t lease);
/// Changes below `prefix` after the revision `after`; the service waits for one up to `wait_ms`.
std::string watch_path(const std::string& prefix, std::uint64_t after, int wait_ms);

std::string encode_transaction(const Transaction& transaction);
std::string encode_lease_request(std::chrono::milliseconds ttl);

// All parsers throw DecodeError.

/// The id of a lease that was granted.
std::uint64_t parse_lease(const std::string& body);
/// The revision that a transaction has made.
std::uint64_t parse_revision(const std::string& body);
/// The keys whose conditions did not hold.
std::vector<std::string> parse_failed_keys(const std::string& body);
/// Whether the body of a 400 says that a lease has ended: the only 400 that is not a fault of the
/// request itself.
bool names_expired_lease(const std::string& body);
Entry parse_entry(const std::string& body);
EntryPage parse_entries(const std::string& body);
WatchPage parse_watch(const std::string& body);

}  // namespace poppystile::protocol
