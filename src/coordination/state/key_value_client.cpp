#include "coordination/state/key_value_client.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <memory>
#include <utility>

#include "constants.hpp"

namespace poppystile::coordination {

using protocol::Entry;
using protocol::EntryPage;
using transport::HttpResponse;

namespace {

Outcome outcome_of(const HttpResponse& response) {
  switch (response.status) {
    case 200:
      return Outcome::ok;
    case 0:
      return Outcome::unknown;
    case 409:
      return Outcome::conflict;
    case 400:
      return Outcome::invalid;
    case 429:
      return Outcome::throttled;
    default:
      return Outcome::refused;
  }
}

// Runs a parser; an answer that makes no sense counts as no answer.
template <typename Parse>
Outcome parsed(Outcome outcome, Parse parse) {
  try {
    parse();
    return outcome;
  } catch (const std::exception& problem) {
    spdlog::info("state service answer malformed why=\"{}\"", problem.what());
    return Outcome::unknown;
  }
}

}  // namespace

bool RateBudget::take(double amount, bool overdraw, double now_s) {
  const double burst = rate_ * share_;
  left_ = std::min(burst, left_ + (now_s - at_s_) * burst);
  at_s_ = now_s;
  // A transaction larger than the burst would otherwise wait for ever.
  const double needed = overdraw ? amount - rate_ : std::min(amount, burst);
  if (left_ < needed) return false;
  left_ -= amount;
  return true;
}

double RateBudget::wait_s(double amount) const {
  const double burst = rate_ * share_;
  return std::clamp((std::min(amount, burst) - left_) / burst, 0.002, 1.0);
}

StateStore::StateStore(transport::Runtime& runtime, transport::HttpCaller& http,
                       const protocol::Settings& settings)
    : runtime_(runtime),
      http_(http),
      endpoint_(settings.state),
      requests_(settings.state_limits.rps, runtime.now_s()),
      writes_(settings.state_limits.write_rps, runtime.now_s()) {
  set_share(constants::follower_rate_share);
}

void StateStore::set_share(double share) {
  requests_.set_share(share);
  writes_.set_share(share);
}

bool StateStore::crowded() const {
  const auto a_second = static_cast<std::size_t>(requests_.per_second());
  return waiting_[static_cast<std::size_t>(Urgency::user)].size() >
         std::max(constants::min_waiting_users, a_second);
}

void StateStore::enqueue(Urgency urgency, Call call) {
  call.urgent = urgency == Urgency::journal || urgency == Urgency::user;
  if (urgency == Urgency::lease) return send(std::move(call));
  waiting_[static_cast<std::size_t>(urgency)].push_back(std::move(call));
  pump();
}

void StateStore::pump() {
  for (auto& queue : waiting_) {
    while (!queue.empty()) {
      const Call& next = queue.front();
      const double now = runtime_.now_s();
      // Both budgets are asked before either is spent.
      RateBudget after_requests = requests_;
      if (!after_requests.take(1, next.urgent, now) ||
          !writes_.take(next.writes, next.urgent, now)) {
        if (!std::exchange(pump_set_, true))
          runtime_.after(std::max(requests_.wait_s(1), writes_.wait_s(next.writes)), [this] {
            pump_set_ = false;
            pump();
          });
        return;
      }
      requests_ = after_requests;
      Call call = std::move(queue.front());
      queue.pop_front();
      send(std::move(call));
    }
  }
}

void StateStore::send(Call call) {
  const double sent = runtime_.now_s();
  const double sent_wall = runtime_.wall_s();
  auto done = std::move(call.done);
  http_.call(endpoint_, std::move(call.request), call.timeout_s,
             [this, sent, sent_wall, done = std::move(done)](HttpResponse response) {
               if (response.status != 0 && response.status != 503) {
                 last_contact_s_ = std::max(last_contact_s_, sent);
                 last_contact_wall_s_ = std::max(last_contact_wall_s_, sent_wall);
               }
               answered_sent_s_ = sent;
               done(std::move(response));
             });
}

void StateStore::get(const std::string& key, Urgency urgency,
                     std::function<void(Outcome, std::optional<Entry>)> done) {
  Call call{{"GET", protocol::key_path(key), ""},
            constants::state_timeout_s,
            0,
            false,
            [done = std::move(done)](HttpResponse response) {
              if (response.status == 404) return done(Outcome::ok, std::nullopt);
              std::optional<Entry> entry;
              Outcome outcome = outcome_of(response);
              if (outcome == Outcome::ok)
                outcome = parsed(outcome, [&] { entry = protocol::parse_entry(response.body); });
              done(outcome, std::move(entry));
            }};
  enqueue(urgency, std::move(call));
}

void StateStore::list(const std::string& prefix, const std::string& after, Urgency urgency,
                      std::function<void(Outcome, EntryPage)> done) {
  Call call{{"GET", protocol::list_keys_path(prefix, after, constants::list_page), ""},
            constants::state_timeout_s,
            0,
            false,
            [done = std::move(done)](HttpResponse response) {
              EntryPage page;
              Outcome outcome = outcome_of(response);
              if (outcome == Outcome::ok)
                outcome = parsed(outcome, [&] { page = protocol::parse_entries(response.body); });
              done(outcome, std::move(page));
            }};
  enqueue(urgency, std::move(call));
}

void StateStore::list_all(const std::string& prefix, Urgency urgency,
                          std::function<void(Outcome, EntryPage)> done) {
  struct Walk {
    EntryPage all;
    std::function<void(const std::string&)> next;
  };
  auto walk = std::make_shared<Walk>();
  auto finish = std::make_shared<decltype(done)>(std::move(done));
  walk->next = [this, walk, finish, prefix, urgency](const std::string& after) {
    list(prefix, after, urgency, [walk, finish](Outcome outcome, EntryPage page) {
      if (outcome != Outcome::ok) {
        walk->next = nullptr;  // breaks the cycle
        return (*finish)(outcome, {});
      }
      if (walk->all.revision == 0) walk->all.revision = page.revision;
      for (auto& each : page.entries) walk->all.entries.push_back(std::move(each));
      if (page.more && !walk->all.entries.empty())
        return walk->next(std::string(walk->all.entries.back().key));
      auto all = std::move(walk->all);
      walk->next = nullptr;
      (*finish)(Outcome::ok, std::move(all));
    });
  };
  walk->next("");
}

void StateStore::transact(const protocol::Transaction& transaction, Urgency urgency,
                          std::function<void(TransactionResult)> done) {
  Call call{{"POST", protocol::transaction_path, protocol::encode_transaction(transaction)},
            constants::state_timeout_s,
            static_cast<double>(transaction.changes.size()),
            false,
            [done = std::move(done)](HttpResponse response) {
              TransactionResult result;
              result.outcome = outcome_of(response);
              if (response.status == 400) {
                result.outcome = protocol::tells_of_lease(response.body) ? Outcome::lease_gone
                                                                         : Outcome::invalid;
                spdlog::error("transaction refused answer=\"{}\"", response.body.substr(0, 200));
              }
              if (result.outcome == Outcome::ok)
                result.outcome = parsed(result.outcome, [&] {
                  result.revision = protocol::parse_revision(response.body);
                });
              if (result.outcome == Outcome::conflict)
                result.outcome = parsed(
                    result.outcome, [&] { result.failed = protocol::parse_failed(response.body); });
              done(std::move(result));
            }};
  enqueue(urgency, std::move(call));
}

void StateStore::create_lease(int ttl_ms, std::function<void(Outcome, std::uint64_t)> done) {
  Call call{{"POST", protocol::leases_path, protocol::encode_lease_request(ttl_ms)},
            constants::grant_timeout_s,
            0,
            false,
            [done = std::move(done)](HttpResponse response) {
              std::uint64_t lease = 0;
              Outcome outcome = outcome_of(response);
              if (outcome == Outcome::ok)
                outcome = parsed(outcome, [&] { lease = protocol::parse_lease(response.body); });
              done(outcome, lease);
            }};
  enqueue(Urgency::lease, std::move(call));
}

void StateStore::renew_lease(std::uint64_t lease, std::function<void(Outcome)> done) {
  Call call{{"POST", protocol::renew_path(lease), ""},
            constants::grant_timeout_s,
            0,
            false,
            [done = std::move(done)](const HttpResponse& response) {
              done(response.status == 404 ? Outcome::lease_gone : outcome_of(response));
            }};
  enqueue(Urgency::lease, std::move(call));
}

void StateStore::drop_lease(std::uint64_t lease) {
  Call call{{"DELETE", std::string(protocol::leases_path) + "/" + std::to_string(lease), ""},
            constants::grant_timeout_s,
            0,
            false,
            [](const HttpResponse&) {}};
  enqueue(Urgency::lease, std::move(call));
}

void StateStore::watch(const std::string& prefix, std::uint64_t after,
                       std::function<void(Outcome, protocol::WatchPage)> done) {
  const int hold_ms = static_cast<int>(constants::watch_hold_s * 1000);
  Call call{{"GET", protocol::watch_path(prefix, after, hold_ms), ""},
            constants::watch_hold_s + constants::watch_slack_s,
            0,
            false,
            [done = std::move(done)](HttpResponse response) {
              protocol::WatchPage page;
              Outcome outcome = response.status == 410 ? Outcome::conflict : outcome_of(response);
              if (outcome == Outcome::ok)
                outcome = parsed(outcome, [&] { page = protocol::parse_watch(response.body); });
              done(outcome, std::move(page));
            }};
  enqueue(Urgency::user, std::move(call));
}

}  // namespace poppystile::coordination
