/// \file
/// Client of the state service, a replicated key-value store: typed calls, rate limits, priorities.
#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "constants.hpp"
#include "coordination/state/token_bucket.hpp"
#include "protocol/settings.hpp"
#include "protocol/state_messages.hpp"
#include "transport/event_loop.hpp"
#include "transport/http.hpp"

namespace poppystile::coordination {

/// Most urgent first. Lease calls are never held back by the rate limit. The journal goes before
/// users: it writes little and seldom (`journal_rate_share`), and everything that runs waits for
/// it.
enum class RequestPriority : std::uint8_t { lease, journal, user, finalize, background };
inline constexpr std::size_t priority_count = 5;

/// How a call of the state service ended.
enum class CallStatus : std::uint8_t {
  ok,
  conflict,       ///< a condition failed, or a watch starts too far back; nothing was changed
  throttled,      ///< 429: nothing was executed, the rate was too high
  unavailable,    ///< 503 and the like: nothing was executed
  lease_expired,  ///< the lease that the call names does not exist any more
  invalid,        ///< 400: nothing was executed, and the same call never will be
  no_response     ///< it may have been executed, or be executed later
};

/// Result of a compare-and-swap transaction.
struct TransactionResult {
  CallStatus status = CallStatus::no_response;
  std::uint64_t revision = 0;       ///< of the store after the transaction; only if ok
  std::vector<std::string> failed;  ///< keys whose condition failed; only on a conflict
};

/// Sends calls to the state service.
///
/// Calls wait in a queue per priority until this controller's share of the service's rate limits
/// allows them. Each callback runs exactly once, never before the call returns. A response that
/// cannot be parsed counts as `no_response`.
class KeyValueClient {
 public:
  /// All references must outlive the client. Starts with a follower's share of the rate limits.
  KeyValueClient(transport::Runtime& runtime, transport::HttpCaller& http,
                 const protocol::Settings& settings);

  /// Sets the share of the service's rate limits that this controller uses, in (0, 1].
  void set_share(double share);
  /// Whether users' calls queue up faster than the rate limits let them out; new ones should be
  /// rejected at once rather than answered too late.
  bool is_overloaded() const;
  /// Steady time at which the newest answered call was sent; default-constructed if there is none.
  SteadyTime last_contact() const { return last_contact_; }
  /// The same by the wall clock.
  WallTime last_contact_wall() const { return last_contact_wall_; }
  /// Steady time at which the call was sent whose callback is running: what the response shows is
  /// that old. Only meaningful inside a callback.
  SteadyTime answered_request_sent_at() const { return answered_request_sent_at_; }

  /// Reads one key; nothing with status `ok` if it does not exist.
  void get(const std::string& key, RequestPriority priority,
           std::function<void(CallStatus, std::optional<protocol::Entry>)> done);
  /// Reads one page of the keys that begin with `prefix`, beginning behind the key `after`.
  void list(const std::string& prefix, const std::string& after, RequestPriority priority,
            std::function<void(CallStatus, protocol::EntryPage)> done);
  /// Reads all pages of a prefix. The revision is the first page's, so that a watch from there on
  /// misses nothing.
  void list_all(const std::string& prefix, RequestPriority priority,
                std::function<void(CallStatus, protocol::EntryPage)> done);
  /// Applies all changes of the transaction if all its conditions hold, and none otherwise.
  void compare_and_swap(const protocol::Transaction& transaction, RequestPriority priority,
                        std::function<void(TransactionResult)> done);
  /// Creates a lease; keys attached to it are deleted when it expires.
  void create_lease(std::chrono::milliseconds ttl,
                    std::function<void(CallStatus, std::uint64_t)> done);
  /// Renews a lease for its full time; `lease_expired` if it does not exist any more.
  void renew_lease(std::uint64_t lease, std::function<void(CallStatus)> done);
  /// Deletes a lease and the keys attached to it. Best effort: it expires anyway.
  void revoke_lease(std::uint64_t lease);
  /// Waits for changes to keys that begin with `prefix` after revision `after`, for `watch_hold` at
  /// most. `conflict`: `after` is too old, so the prefix must be listed again.
  void watch(const std::string& prefix, std::uint64_t after,
             std::function<void(CallStatus, protocol::WatchPage)> done);

 private:
  using ResponseHandler = std::function<void(const transport::HttpResponse&)>;

  struct Call {
    transport::HttpRequest request;
    ResponseHandler on_response;
    Seconds timeout = constants::state_timeout;
    double writes = 0;          // changes, which have a rate limit of their own
    bool may_overdraw = false;  // see TokenBucket::take
  };
  struct Listing;

  void list_next_page(const std::shared_ptr<Listing>& listing);
  void enqueue(RequestPriority priority, Call call);
  void send_allowed_calls();
  bool take_tokens(const Call& call);
  void send_later(const Call& call);
  void send(Call call);

  transport::Runtime& runtime_;
  transport::HttpCaller& http_;
  transport::Endpoint endpoint_;
  TokenBucket requests_;
  TokenBucket writes_;
  std::array<std::deque<Call>, priority_count> waiting_;
  bool is_timer_set_ = false;  // sends waiting calls when the buckets have filled
  SteadyTime last_contact_;
  WallTime last_contact_wall_;
  SteadyTime answered_request_sent_at_;
};

}  // namespace poppystile::coordination
