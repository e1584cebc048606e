// The state service as the coordination layer uses it: typed calls, rate limits, priorities.
#pragma once

#include <array>
#include <deque>
#include <functional>
#include <string>
#include <vector>

#include "protocol/settings.hpp"
#include "protocol/state_messages.hpp"
#include "transport/event_loop.hpp"
#include "transport/http.hpp"

namespace poppystile::coordination {

// Most urgent first. Renewals are never held back. The journal goes before users: it writes little
// and seldom (see journal_rate_share), and everything that runs waits for it.
enum class RequestPriority : std::uint8_t { lease, journal, user, finalize, background };
inline constexpr std::size_t priority_count = 5;

enum class CallStatus : std::uint8_t {
  ok,
  conflict,   // a condition failed; nothing was changed
  throttled,  // 429: nothing was executed, the rate was too high
  refused,    // 503: nothing was executed
  lease_gone,
  invalid,  // 400: nothing was executed, and the same again never will be
  unknown   // no answer: it may have been executed, or be executed later
};

struct TransactionResult {
  CallStatus status = CallStatus::unknown;
  std::uint64_t revision = 0;
  std::vector<std::string> failed;
};

// Spends a rate with bursts of one second's worth.
class TokenBucket {
 public:
  TokenBucket(double rate, SteadyTime now) : rate_(rate), left_(rate), updated_at_(now) {}
  void set_share(double share) { share_ = share; }
  // Whether `amount` may be spent now; `overdraw` lets urgent calls go into debt by a second's
  // worth of the whole rate.
  bool take(double amount, bool overdraw, SteadyTime now);
  Seconds time_until_available(double amount) const;
  // What may be spent in a second.
  double per_second() const { return rate_ * share_; }

 private:
  double rate_;
  double share_ = 1;
  double left_;
  SteadyTime updated_at_;
};

class KeyValueClient {
 public:
  KeyValueClient(transport::Runtime& runtime, transport::HttpCaller& http,
                 const protocol::Settings& settings);

  void set_share(double share);
  // Whether users' calls pile up faster than the limits let them out: then new ones are turned
  // away at once rather than answered too late.
  bool is_overloaded() const;
  // Steady time at which the newest answered call was sent; 0: never.
  SteadyTime last_contact() const { return last_contact_; }
  // Steady time at which the call was sent whose answer is being handled: what it tells is that
  // old.
  SteadyTime answered_request_sent_at() const { return answered_request_sent_at_; }
  // Time of day of the newest answered call.
  WallTime last_contact_wall() const { return last_contact_wall_; }

  void get(const std::string& key, RequestPriority urgency,
           std::function<void(CallStatus, std::optional<protocol::Entry>)> done);
  void list(const std::string& prefix, const std::string& after, RequestPriority urgency,
            std::function<void(CallStatus, protocol::EntryPage)> done);
  // All pages of a prefix; the revision is the first page's.
  void list_all(const std::string& prefix, RequestPriority urgency,
                std::function<void(CallStatus, protocol::EntryPage)> done);
  void compare_and_swap(const protocol::Transaction& transaction, RequestPriority urgency,
                        std::function<void(TransactionResult)> done);
  void create_lease(std::chrono::milliseconds ttl,
                    std::function<void(CallStatus, std::uint64_t)> done);
  void renew_lease(std::uint64_t lease, std::function<void(CallStatus)> done);
  void revoke_lease(std::uint64_t lease);
  // Outcome conflict: `after` is too old, everything must be read again.
  void watch(const std::string& prefix, std::uint64_t after,
             std::function<void(CallStatus, protocol::WatchPage)> done);

 private:
  struct Call {
    transport::HttpRequest request;
    Seconds timeout{0};
    double writes = 0;
    bool urgent = false;
    std::function<void(transport::HttpResponse)> done;
  };

  void enqueue(RequestPriority urgency, Call call);
  void pump();
  void send(Call call);

  transport::Runtime& runtime_;
  transport::HttpCaller& http_;
  transport::Endpoint endpoint_;
  TokenBucket requests_;
  TokenBucket writes_;
  std::array<std::deque<Call>, priority_count> waiting_;
  bool pump_set_ = false;
  SteadyTime last_contact_;
  WallTime last_contact_wall_;
  SteadyTime answered_request_sent_at_;
};

}  // namespace poppystile::coordination
