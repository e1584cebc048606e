#include "coordination/state/key_value_client.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <exception>
#include <utility>

namespace poppystile::coordination {

using protocol::Entry;
using protocol::EntryPage;
using transport::HttpResponse;

namespace {

constexpr std::size_t max_logged_body_bytes = 200;

CallStatus status_of(const HttpResponse& response) {
  switch (response.status) {
    case 200:
      return CallStatus::ok;
    case 0:
      return CallStatus::no_response;
    case 409:
      return CallStatus::conflict;
    case 400:
      return CallStatus::invalid;
    case 429:
      return CallStatus::throttled;
    default:
      return CallStatus::unavailable;
  }
}

// The service responds with 410 to a watch that starts at a compacted revision.
CallStatus watch_status_of(const HttpResponse& response) {
  return response.status == 410 ? CallStatus::conflict : status_of(response);
}

// Parses a body into `value`. Returns `status`, or `no_response` if the body is malformed.
template <typename Value, typename Parsed>
CallStatus parse_into(Value& value, Parsed (*parse)(const std::string&), const std::string& body,
                      CallStatus status) {
  try {
    value = parse(body);
    return status;
  } catch (const std::exception& problem) {
    spdlog::info("state service response malformed why=\"{}\"", problem.what());
    return CallStatus::no_response;
  }
}

// Returns a response handler that calls `done` with the status and, if that is `ok`, the parsed
// body; otherwise with a default-constructed value.
template <typename Value>
auto parsing_handler(Value (*parse)(const std::string&),
                     std::function<void(CallStatus, Value)> done,
                     CallStatus (*classify)(const HttpResponse&) = status_of) {
  return [parse, classify, done = std::move(done)](const HttpResponse& response) {
    Value value{};
    CallStatus status = classify(response);
    if (status == CallStatus::ok) status = parse_into(value, parse, response.body, status);
    done(status, std::move(value));
  };
}

TransactionResult parse_transaction_result(const HttpResponse& response) {
  TransactionResult result;
  result.status = status_of(response);
  if (result.status == CallStatus::invalid) {
    if (protocol::reports_expired_lease(response.body)) result.status = CallStatus::lease_expired;
    spdlog::error("transaction refused response=\"{}\"",
                  response.body.substr(0, max_logged_body_bytes));
  }
  if (result.status == CallStatus::ok)
    result.status =
        parse_into(result.revision, protocol::parse_revision, response.body, result.status);
  if (result.status == CallStatus::conflict)
    result.status =
        parse_into(result.failed, protocol::parse_failed_keys, response.body, result.status);
  return result;
}

}  // namespace

KeyValueClient::KeyValueClient(transport::Runtime& runtime, transport::HttpCaller& http,
                               const protocol::Settings& settings)
    : runtime_(runtime),
      http_(http),
      endpoint_(settings.state),
      request_bucket_(settings.state_limits.rps, runtime.now()),
      write_bucket_(settings.state_limits.write_rps, runtime.now()) {
  set_share(constants::follower_rate_share);
}

void KeyValueClient::set_share(double share) {
  request_bucket_.set_share(share);
  write_bucket_.set_share(share);
}

bool KeyValueClient::is_overloaded() const {
  const auto requests_per_second = static_cast<std::size_t>(request_bucket_.per_second());
  return waiting_calls_[static_cast<std::size_t>(RequestPriority::user)].size() >
         std::max(constants::min_queued_user_requests, requests_per_second);
}

// --- calls ---

void KeyValueClient::get(const std::string& key, RequestPriority priority,
                         std::function<void(CallStatus, std::optional<Entry>)> done) {
  auto on_response = [done = std::move(done)](const HttpResponse& response) {
    if (response.status == 404) return done(CallStatus::ok, std::nullopt);
    std::optional<Entry> entry;
    CallStatus status = status_of(response);
    if (status == CallStatus::ok)
      status = parse_into(entry, protocol::parse_entry, response.body, status);
    done(status, std::move(entry));
  };
  enqueue(priority, {{"GET", protocol::key_path(key), ""}, std::move(on_response)});
}

void KeyValueClient::list(const std::string& prefix, const std::string& after,
                          RequestPriority priority,
                          std::function<void(CallStatus, EntryPage)> done) {
  enqueue(priority, {{"GET", protocol::list_keys_path(prefix, after, constants::list_page), ""},
                     parsing_handler(protocol::parse_entries, std::move(done))});
}

struct KeyValueClient::Listing {
  std::string prefix;
  RequestPriority priority;
  std::function<void(CallStatus, EntryPage)> done;
  EntryPage combined_page = {};
};

void KeyValueClient::list_all(const std::string& prefix, RequestPriority priority,
                              std::function<void(CallStatus, EntryPage)> done) {
  list_next_page(std::make_shared<Listing>(Listing{prefix, priority, std::move(done)}));
}

void KeyValueClient::list_next_page(const std::shared_ptr<Listing>& listing) {
  const auto& entries_read = listing->combined_page.entries;
  const std::string after = entries_read.empty() ? "" : entries_read.back().key;
  list(listing->prefix, after, listing->priority,
       [this, listing](CallStatus status, EntryPage page) {
         if (status != CallStatus::ok) return listing->done(status, {});
         EntryPage& combined_page = listing->combined_page;
         if (combined_page.revision == 0) combined_page.revision = page.revision;
         for (auto& entry : page.entries) combined_page.entries.push_back(std::move(entry));
         if (page.more && !combined_page.entries.empty()) return list_next_page(listing);
         listing->done(CallStatus::ok, std::move(combined_page));
       });
}

void KeyValueClient::compare_and_swap(const protocol::Transaction& transaction,
                                      RequestPriority priority,
                                      std::function<void(TransactionResult)> done) {
  auto on_response = [done = std::move(done)](const HttpResponse& response) {
    done(parse_transaction_result(response));
  };
  enqueue(priority, {.request = {"POST", protocol::transaction_path,
                                 protocol::encode_transaction(transaction)},
                     .on_response = std::move(on_response),
                     .writes = static_cast<double>(transaction.changes.size())});
}

void KeyValueClient::create_lease(std::chrono::milliseconds ttl,
                                  std::function<void(CallStatus, std::uint64_t)> done) {
  enqueue(RequestPriority::lease,
          {{"POST", protocol::leases_path, protocol::encode_lease_request(ttl)},
           parsing_handler(protocol::parse_lease, std::move(done)),
           constants::leader_lease_call_timeout});
}

void KeyValueClient::renew_lease(std::uint64_t lease, std::function<void(CallStatus)> done) {
  auto on_response = [done = std::move(done)](const HttpResponse& response) {
    done(response.status == 404 ? CallStatus::lease_expired : status_of(response));
  };
  enqueue(RequestPriority::lease, {{"POST", protocol::renew_path(lease), ""},
                                   std::move(on_response),
                                   constants::leader_lease_call_timeout});
}

void KeyValueClient::revoke_lease(std::uint64_t lease) {
  const std::string path = std::string(protocol::leases_path) + "/" + std::to_string(lease);
  enqueue(RequestPriority::lease,
          {{"DELETE", path, ""}, [](const HttpResponse&) {}, constants::leader_lease_call_timeout});
}

void KeyValueClient::watch(const std::string& prefix, std::uint64_t after,
                           std::function<void(CallStatus, protocol::WatchPage)> done) {
  const int hold_ms = static_cast<int>(constants::watch_hold.count() * 1000);
  enqueue(RequestPriority::user,
          {{"GET", protocol::watch_path(prefix, after, hold_ms), ""},
           parsing_handler(protocol::parse_watch, std::move(done), watch_status_of),
           constants::watch_hold + constants::watch_slack});
}

// --- queue ---

void KeyValueClient::enqueue(RequestPriority priority, Call call) {
  if (priority == RequestPriority::lease) return send(std::move(call));
  call.may_overdraw = priority == RequestPriority::journal || priority == RequestPriority::user;
  waiting_calls_[static_cast<std::size_t>(priority)].push_back(std::move(call));
  send_allowed_calls();
}

// Sends waiting calls by priority, until one has to wait for the rate limit; calls of the same or a
// lower priority then wait behind it.
void KeyValueClient::send_allowed_calls() {
  for (auto& queue : waiting_calls_) {
    while (!queue.empty()) {
      if (!take_tokens(queue.front())) return send_later(queue.front());
      Call call = std::move(queue.front());
      queue.pop_front();
      send(std::move(call));
    }
  }
}

// Takes the call's tokens from both buckets, or from neither. Returns whether they were taken.
bool KeyValueClient::take_tokens(const Call& call) {
  const SteadyTime now = runtime_.now();
  TokenBucket request_bucket = request_bucket_;
  if (!request_bucket.take(1, call.may_overdraw, now)) return false;
  if (!write_bucket_.take(call.writes, call.may_overdraw, now)) return false;
  request_bucket_ = request_bucket;
  return true;
}

void KeyValueClient::send_later(const Call& call) {
  if (std::exchange(is_timer_set_, true)) return;
  const Seconds wait = std::max(request_bucket_.time_until_available(1),
                                write_bucket_.time_until_available(call.writes));
  runtime_.after(wait, [this] {
    is_timer_set_ = false;
    send_allowed_calls();
  });
}

void KeyValueClient::send(Call call) {
  const SteadyTime sent_at = runtime_.now();
  const WallTime sent_at_wall = runtime_.wall_now();
  http_.call(endpoint_, std::move(call.request), call.timeout,
             [this, sent_at, sent_at_wall,
              on_response = std::move(call.on_response)](const HttpResponse& response) {
               if (response.status != 0 && response.status != 503) {
                 last_contact_ = std::max(last_contact_, sent_at);
                 last_contact_wall_ = std::max(last_contact_wall_, sent_at_wall);
               }
               answered_request_sent_at_ = sent_at;
               on_response(response);
             });
}

}  // namespace poppystile::coordination
