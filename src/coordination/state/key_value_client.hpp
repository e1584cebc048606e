/// \file
/// Client of the state service, a replicated key-value store, with rate limits and priorities.
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

/// Priorities of calls, most urgent first. Lease calls bypass the rate limit. The journal precedes
/// users' calls: it writes little and seldom (`journal_rate_share`), and every task start waits for
/// it.
enum class RequestPriority : std::uint8_t { lease, journal, user, finalize, background };
inline constexpr std::size_t priority_count = 5;

/// Outcome of a call to the state service.
enum class CallStatus : std::uint8_t {
  ok,             ///< The call was executed.
  conflict,       ///< A condition failed, or a watch starts too far back. Nothing was changed.
  throttled,      ///< 429: the rate was too high. Nothing was executed.
  unavailable,    ///< 503 or any other status. Nothing was executed.
  lease_expired,  ///< The call refers to a lease that does not exist any more.
  invalid,        ///< 400: nothing was executed, and a repeated call would be rejected again.
  no_response     ///< The call may have been executed, or may still be executed later.
};

/// Result of a compare-and-swap transaction.
struct TransactionResult {
  CallStatus status = CallStatus::no_response;
  std::uint64_t revision = 0;       ///< Revision of the store after the transaction; only if `ok`.
  std::vector<std::string> failed;  ///< Keys whose condition failed; only if `conflict`.
};

/// Sends calls to the state service.
///
/// Each priority has a queue, in which calls wait until this controller's share of the service's
/// rate limits allows them. Every callback runs exactly once, after the function that takes it has
/// returned. A response that cannot be parsed counts as `no_response`.
class KeyValueClient {
 public:
  /// All references must outlive the client. Starts with a follower's share of the rate limits.
  KeyValueClient(transport::Runtime& runtime, transport::HttpCaller& http,
                 const protocol::Settings& settings);

  /// Sets the share of the service's rate limits that this controller uses, in (0, 1].
  void set_share(double share);
  /// Whether more calls of users are waiting than the rate limits allow in a second (and more than
  /// `min_queued_user_requests`). New requests should then be rejected at once, since they would be
  /// answered too late.
  bool is_overloaded() const;
  /// Steady time at which the newest call that the service answered was sent; default-constructed
  /// if there is none. A response with status 503 does not count.
  SteadyTime last_contact() const { return last_contact_; }
  /// The wall time that corresponds to `last_contact`.
  WallTime last_contact_wall() const { return last_contact_wall_; }
  /// Steady time at which the call was sent whose callback is running. The response includes every
  /// change committed before this time. Valid only inside a callback.
  SteadyTime answered_request_sent_at() const { return answered_request_sent_at_; }

  /// Reads one key; `ok` and `nullopt` if it does not exist.
  void get(const std::string& key, RequestPriority priority,
           std::function<void(CallStatus, std::optional<protocol::Entry>)> done);
  /// Reads one page of the keys that begin with `prefix` and are greater than `after`.
  void list(const std::string& prefix, const std::string& after, RequestPriority priority,
            std::function<void(CallStatus, protocol::EntryPage)> done);
  /// Reads all pages of the keys that begin with `prefix`. The resulting revision is that of the
  /// first page, so that a watch from this revision on misses no change.
  void list_all(const std::string& prefix, RequestPriority priority,
                std::function<void(CallStatus, protocol::EntryPage)> done);
  /// Applies all changes of the transaction if all its conditions hold, and none otherwise.
  void compare_and_swap(const protocol::Transaction& transaction, RequestPriority priority,
                        std::function<void(TransactionResult)> done);
  /// Creates a lease; keys attached to it are deleted when it expires.
  void create_lease(std::chrono::milliseconds ttl,
                    std::function<void(CallStatus, std::uint64_t)> done);
  /// Renews a lease for its full duration; `lease_expired` if it does not exist any more.
  void renew_lease(std::uint64_t lease, std::function<void(CallStatus)> done);
  /// Deletes a lease and the keys attached to it. Failures are ignored, since the lease then
  /// expires.
  void revoke_lease(std::uint64_t lease);
  /// Waits up to `watch_hold` for changes after revision `after` to keys that begin with `prefix`.
  /// `conflict` if `after` is too old; the prefix must then be listed again.
  void watch(const std::string& prefix, std::uint64_t after,
             std::function<void(CallStatus, protocol::WatchPage)> done);

 private:
  using ResponseHandler = std::function<void(const transport::HttpResponse&)>;

  struct Call {
    transport::HttpRequest request;
    ResponseHandler on_response;
    Seconds timeout = constants::state_timeout;
    double writes = 0;          // Number of changes, which have a separate rate limit.
    bool may_overdraw = false;  // Passed to TokenBucket::take.
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
  TokenBucket request_bucket_;
  TokenBucket write_bucket_;
  std::array<std::deque<Call>, priority_count> waiting_calls_;
  bool is_timer_set_ = false;  // Whether the timer that sends waiting calls is set.
  SteadyTime last_contact_;
  WallTime last_contact_wall_;
  SteadyTime answered_request_sent_at_;
};

}  // namespace poppystile::coordination
