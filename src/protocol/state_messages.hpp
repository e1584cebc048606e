/// \file
/// Requests to the state service and its responses.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "protocol/json.hpp"

namespace poppystile::protocol {

/// A key with its value and version.
struct Entry {
  std::string key;
  Json value;
  std::uint64_t version = 0;
};

/// One page of the entries below a prefix.
struct EntryPage {
  std::vector<Entry> entries;
  bool more = false;           ///< Whether further pages follow.
  std::uint64_t revision = 0;  ///< Revision of the whole store at which the page was read.
};

/// A condition for the execution of a transaction: the key has this version.
struct Condition {
  std::string key;
  std::uint64_t version = 0;  ///< 0 requires that the key does not exist.
};

/// A write or deletion of one key in a transaction.
struct Change {
  std::string key;
  std::optional<std::string> value;  ///< JSON text; nullopt deletes the key.
  std::uint64_t lease = 0;           ///< The key is deleted when this lease ends; 0: no lease.
};

/// A transaction makes all of its changes if all of its conditions hold, and none otherwise.
struct Transaction {
  std::vector<Condition> conditions;
  std::vector<Change> changes;
};

/// A change of one key, as a watch reports it.
struct WatchEvent {
  std::string key;
  std::optional<Json> value;  ///< nullopt: the key was deleted.
  std::uint64_t version = 0;
};

/// The changes up to a revision, in the order of the service's log.
struct WatchPage {
  std::vector<WatchEvent> events;
  std::uint64_t revision = 0;  ///< Where the next watch request continues.
};

inline constexpr const char* transaction_path = "/multi";
inline constexpr const char* leases_path = "/grants";
/// The path of the entry with this key.
std::string key_path(const std::string& key);
/// The path of a page with at most `limit` entries below `prefix`, starting after the key `after`,
/// or with the first entry if `after` is empty.
std::string list_keys_path(const std::string& prefix, const std::string& after, int limit);
/// The path of a request that renews the lease.
std::string renew_path(std::uint64_t lease);
/// The path of a watch request for changes below `prefix` after the revision `after`. If there is
/// none, the service waits up to `wait_ms` milliseconds for one.
std::string watch_path(const std::string& prefix, std::uint64_t after, int wait_ms);

std::string encode_transaction(const Transaction& transaction);
std::string encode_lease_request(std::chrono::milliseconds ttl);

// All parsers throw DecodeError when a message is malformed.

/// The id of the lease that the service created.
std::uint64_t parse_lease(const std::string& body);
/// The revision of the store after a successful transaction.
std::uint64_t parse_revision(const std::string& body);
/// The keys whose conditions made a transaction fail.
std::vector<std::string> parse_failed_keys(const std::string& body);
/// Whether the body of a response with status 400 reports an expired lease. Every other 400 means
/// that the request itself is invalid.
bool reports_expired_lease(const std::string& body);
Entry parse_entry(const std::string& body);
EntryPage parse_entries(const std::string& body);
WatchPage parse_watch(const std::string& body);

}  // namespace poppystile::protocol
