/// \file
/// Simulated state service, as PROTOCOL specifies it: revisions, conditions, leases, watches,
/// limits.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "protocol/json.hpp"
#include "simulation/event_queue.hpp"
#include "transport/http.hpp"

namespace poppystile::simulation {

/// A key-value store with compare-and-swap transactions, leases whose keys are deleted when the
/// lease expires, and long-polling watches.
class StateService {
 public:
  using OnResponse = std::function<void(transport::HttpResponse)>;

  /// Accepts `rps` requests and `write_rps` changes a second, and `txn_ops` changes in a
  /// transaction.
  StateService(EventQueue& queue, double rps, double write_rps, int txn_ops);

  /// Handles one request. Calls `respond` before it returns; for a watch, when a key has changed or
  /// the watch's timeout has passed, which may be later.
  void handle(const transport::HttpRequest& request, const OnResponse& respond);
  /// While the service is down, it responds to every request with 503, and no lease expires. A
  /// watch whose timeout passes meanwhile gets its response when a key changes. When the service is
  /// up again, every lease gets its full time to live.
  void set_down(bool down);
  /// Sets the limits for later requests. Stored values are kept even if they exceed the limits.
  void set_limits(double write_rps, int txn_ops, double value_kb);
  bool has(const std::string& key) const { return items_.contains(key); }
  /// Number of requests refused with 429 because they exceeded a rate limit.
  std::uint64_t refused() const { return refused_; }
  /// Number of transactions refused with 400 because they exceeded a size limit.
  std::uint64_t invalid() const { return invalid_; }
  /// Number of requests within the request rate limit.
  std::uint64_t requests() const { return requests_; }
  /// Number of writes and removals in transactions, including transactions that were not executed.
  std::uint64_t changes() const { return changes_; }

 private:
  using Json = protocol::Json;
  struct Item {
    Json value;
    std::uint64_t version = 0;
    std::uint64_t lease = 0;
  };
  struct Change {
    std::string key;
    std::optional<Json> value;
    std::uint64_t version = 0;
  };
  struct Lease {
    double ttl_s = 0;
    double expires_at = 0;  // simulated time
  };
  struct TokenBucket {
    double tokens = 0;
    double filled_at = 0;  // simulated time
  };
  struct Watch {
    std::string prefix;
    std::uint64_t after_revision = 0;
    OnResponse respond;
    bool responded = false;
  };

  bool take_tokens(TokenBucket& bucket, double rate, double amount);
  void compare_and_swap(const std::string& body, const OnResponse& respond);
  bool is_too_large(const std::string& body, const Json& when, const Json& apply) const;
  void put(const std::string& key, const Json& value, std::uint64_t lease);
  void erase(const std::string& key);
  void list(const std::map<std::string, std::string>& query, const OnResponse& respond);
  void watch(const std::map<std::string, std::string>& query, const OnResponse& respond);
  bool respond_to_watch(Watch& watch, bool allow_empty);
  void respond_to_watches();
  void handle_lease(const transport::HttpRequest& request, const OnResponse& respond);
  void schedule_expiry(std::uint64_t id);
  void expire_if_due(std::uint64_t id);

  EventQueue& queue_;
  double rps_, write_rps_;
  int txn_ops_;
  std::size_t max_value_bytes_ = std::size_t{8} * 1024;
  std::uint64_t invalid_ = 0;
  TokenBucket request_bucket_;
  TokenBucket write_bucket_;
  bool down_ = false;
  std::uint64_t revision_ = 0;
  std::uint64_t last_lease_ = 0;
  std::uint64_t refused_ = 0, requests_ = 0, changes_ = 0;
  std::map<std::string, Item> items_;
  std::map<std::uint64_t, Lease> leases_;
  std::deque<Change> changes_log_;
  std::vector<std::shared_ptr<Watch>> watches_;
};

/// Returns the query parameters of a request's target, such as "path?a=1&b=2".
std::map<std::string, std::string> query_of(const std::string& target);

}  // namespace poppystile::simulation
