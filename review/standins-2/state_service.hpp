/// \file
/// The state service, after PROTOCOL-poppystile.md: keys, transactions, leases and watches. Each
/// controller has a port of its own, so that a fault can concern one of them.
#pragma once

#include <algorithm>

#include "common.hpp"

namespace review {

class StateService {
 public:
  /// What happens to the calls of one controller.
  struct Link {
    std::atomic<bool> refuse{false};         // Every request gets 503; open watches wait.
    std::atomic<bool> silent{false};         // No request is read or answered.
    std::atomic<int> answer_delay_ms{0};     // The request is carried out, its answer is held.
    std::atomic<int> request_delay_ms{0};    // The request is held before it is carried out.
    std::function<int(const Request&)> late_answer_ms;  // Further delay of single answers.
    // Seconds after which a request is carried out without an answer; 0: as usual.
    std::function<double(const Request&)> late_write_s;
  };

  StateService(int controllers, double rps, double write_rps, int txn_ops, int value_kb)
      : rps_(rps), write_rps_(write_rps), txn_ops_(txn_ops), value_bytes_(value_kb * 1024) {
    request_tokens_ = rps;
    write_tokens_ = write_rps;
    for (int i = 0; i < controllers; ++i) {
      links.push_back(std::make_unique<Link>());
      ports.push_back(free_port());
      Link* link = links.back().get();
      servers_.push_back(std::make_unique<HttpServer>(
          ports.back(), [this, link, i](const Request& request) { return handle(*link, i, request); }));
    }
    std::thread([this] { end_leases(); }).detach();
  }

  std::vector<std::unique_ptr<Link>> links;
  std::vector<int> ports;
  std::atomic<bool> outage{false};

  /// The value of a key, or null.
  Json value(const std::string& key) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = entries_.find(key);
    return found == entries_.end() ? Json() : found->second.data;
  }
  /// Writes keys as one change, as controllers would have done over a longer time.
  void write_all_at_once(const std::vector<std::pair<std::string, Json>>& records) {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++epoch_;
    for (const auto& [key, data] : records) {
      entries_[key] = {data, epoch_, 0};
      note({epoch_, key, false, data});
    }
    changed_.notify_all();
  }
  std::size_t count_keys(const std::string& prefix) {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::size_t count = 0;
    for (auto it = entries_.lower_bound(prefix); it != entries_.end() && it->first.rfind(prefix, 0) == 0; ++it) ++count;
    return count;
  }
  std::uint64_t refused_for_rate() const { return refused_for_rate_; }

 private:
  struct Entry {
    Json data;
    std::uint64_t stamp = 0;
    std::uint64_t pass = 0;
  };
  struct Change {
    std::uint64_t stamp;
    std::string key;
    bool removed;
    Json data;
  };
  struct Lease {
    double ttl;
    double ends;
  };

  Response handle(Link& link, int controller, const Request& request) {
    while (link.silent) sleep_s(0.005);
    sleep_s(link.request_delay_ms / 1000.0);
    if (outage || link.refuse) return {503, R"({"error":"trouble"})"};
    if (link.late_write_s) {
      if (const double late = link.late_write_s(request); late > 0) {
        std::thread([this, &link, request, late] {
          sleep_s(late);
          if (!outage) carry_out(link, request);
        }).detach();
        sleep_s(6);
        return {};
      }
    }
    const Response response = carry_out(link, request);
    const int late = link.late_answer_ms ? link.late_answer_ms(request) : 0;
    sleep_s((link.answer_delay_ms + late) / 1000.0);
    while (link.silent) sleep_s(0.005);
    (void)controller;
    return response;
  }

  bool take(double& tokens, double& updated, double rate, double amount) {
    const double now = now_s();
    tokens = std::min(rate, tokens + (now - updated) * rate);
    updated = now;
    if (tokens < amount) return false;
    tokens -= amount;
    return true;
  }

  Response carry_out(Link& link, const Request& request) {
    std::unique_lock<std::mutex> lock(mutex_);
    if (!take(request_tokens_, request_updated_, rps_, 1)) {
      ++refused_for_rate_;
      return {429, R"({"error":"rate"})"};
    }
    const std::string path = request.target.substr(0, request.target.find('?'));
    if (request.method == "GET" && path == "/keys") return list(request.target);
    if (request.method == "GET" && path.rfind("/keys/", 0) == 0) return get(path.substr(6));
    if (request.method == "POST" && path == "/multi") return transact(request.body);
    if (request.method == "POST" && path == "/grants") return grant(request.body);
    if (request.method == "GET" && path == "/follow") return follow(link, request.target, lock);
    if (path.rfind("/grants/", 0) == 0) {
      const std::uint64_t pass = std::strtoull(path.c_str() + 8, nullptr, 10);
      const auto found = leases_.find(pass);
      if (found == leases_.end()) return {404, R"({"error":"no such lease"})"};
      if (request.method == "DELETE") {
        end_lease(pass);
        return {200, "{}"};
      }
      found->second.ends = now_s() + found->second.ttl;
      return {200, "{}"};
    }
    return {400, R"({"error":"malformed"})"};
  }

  Response get(const std::string& key) {
    const auto found = entries_.find(key);
    if (found == entries_.end()) return {404, Json{{"epoch", epoch_}}.dump()};
    Json out = describe(key, found->second);
    if (found->second.pass != 0) out["pass"] = found->second.pass;
    return {200, out.dump()};
  }
  static Json describe(const std::string& key, const Entry& entry) {
    return Json{{"key", key}, {"data", entry.data}, {"stamp", entry.stamp}};
  }

  Response list(const std::string& target) {
    const std::string prefix = query_value(target, "prefix");
    const std::string from = query_value(target, "from");
    std::size_t page = std::min<std::size_t>(1000, std::strtoul(query_value(target, "page").c_str(), nullptr, 10));
    if (page == 0) page = 1000;
    Json items = Json::array();
    bool more = false;
    std::size_t bytes = 0;
    for (auto it = entries_.lower_bound(std::max(prefix, from)); it != entries_.end() && it->first.rfind(prefix, 0) == 0; ++it) {
      if (!from.empty() && it->first <= from) continue;
      Json item = describe(it->first, it->second);
      bytes += item.dump().size() + 1;
      if (items.size() == page || bytes > 500 * 1024) {
        more = true;
        break;
      }
      items.push_back(std::move(item));
    }
    return {200, Json{{"entries", items}, {"more", more}, {"epoch", epoch_}}.dump()};
  }

  Response transact(const std::string& body) {
    const Json root = Json::parse(body, nullptr, false);
    if (!root.is_object() || body.size() > 64 * 1024) return {400, R"({"error":"malformed"})"};
    const Json apply = root.value("apply", Json::array());
    const Json when = root.value("when", Json::array());
    if (apply.size() > static_cast<std::size_t>(txn_ops_) ||
        when.size() > static_cast<std::size_t>(4 * txn_ops_))
      return {400, R"({"error":"too large"})"};
    if (!apply.empty() && !take(write_tokens_, write_updated_, write_rps_, static_cast<double>(apply.size()))) {
      ++refused_for_rate_;
      return {429, R"({"error":"rate"})"};
    }
    for (const Json& change : apply) {
      if (!change.contains("write")) continue;
      if (change.at("data").dump().size() > static_cast<std::size_t>(value_bytes_))
        return {400, R"({"error":"value too large"})"};
      if (change.contains("pass") && leases_.find(change["pass"].get<std::uint64_t>()) == leases_.end())
        return {400, R"({"error":"no such lease"})"};
    }
    Json failed = Json::array();
    for (const Json& condition : when) {
      const auto found = entries_.find(condition.at("key").get<std::string>());
      const std::uint64_t stamp = found == entries_.end() ? 0 : found->second.stamp;
      if (stamp != condition.at("stamp").get<std::uint64_t>()) failed.push_back(condition["key"]);
    }
    if (!failed.empty()) return {409, Json{{"failed", failed}, {"epoch", epoch_}}.dump()};
    if (!apply.empty()) {
      ++epoch_;
      for (const Json& change : apply) {
        if (change.contains("write")) {
          const std::string key = change["write"];
          entries_[key] = {change["data"], epoch_, change.value("pass", std::uint64_t{0})};
          note({epoch_, key, false, change["data"]});
        } else {
          const std::string key = change.at("remove");
          if (entries_.erase(key) > 0) note({epoch_, key, true, {}});
        }
      }
      changed_.notify_all();
    }
    return {200, Json{{"epoch", epoch_}}.dump()};
  }

  Response grant(const std::string& body) {
    const Json root = Json::parse(body, nullptr, false);
    if (!root.is_object()) return {400, R"({"error":"malformed"})"};
    const double ttl = root.at("ttl_ms").get<double>() / 1000;
    const std::uint64_t pass = ++last_pass_;
    leases_[pass] = {ttl, now_s() + ttl};
    return {200, Json{{"pass", pass}}.dump()};
  }

  Response follow(Link& link, const std::string& target, std::unique_lock<std::mutex>& lock) {
    const std::string prefix = query_value(target, "prefix");
    const std::uint64_t from = std::strtoull(query_value(target, "from").c_str(), nullptr, 10);
    const double until = now_s() + std::strtod(query_value(target, "hold_ms").c_str(), nullptr) / 1000;
    if (from < forgotten_) return {410, R"({"error":"too old"})"};
    while (true) {
      Json log = Json::array();
      const bool waits = outage || link.refuse;
      if (!waits) {
        const auto first = std::upper_bound(
            log_.begin(), log_.end(), from,
            [](std::uint64_t stamp, const Change& change) { return stamp < change.stamp; });
        for (auto it = first; it != log_.end(); ++it) {
          const Change& change = *it;
          if (change.key.rfind(prefix, 0) != 0) continue;
          if (change.removed)
            log.push_back(Json{{"remove", change.key}, {"stamp", change.stamp}});
          else
            log.push_back(Json{{"write", change.key}, {"data", change.data}, {"stamp", change.stamp}});
        }
        if (!log.empty() || now_s() >= until) return {200, Json{{"epoch", epoch_}, {"log", log}}.dump()};
      }
      changed_.wait_for(lock, std::chrono::milliseconds(waits ? 20 : std::max(1, std::min(100, static_cast<int>((until - now_s()) * 1000)))));
    }
  }

  void note(Change change) {
    log_.push_back(std::move(change));
    while (log_.size() > 10000) {
      forgotten_ = log_.front().stamp;
      log_.pop_front();
    }
  }

  void end_lease(std::uint64_t pass) {
    leases_.erase(pass);
    bool any = false;
    for (auto it = entries_.begin(); it != entries_.end();) {
      if (it->second.pass != pass) {
        ++it;
        continue;
      }
      if (!any) ++epoch_;
      any = true;
      note({epoch_, it->first, true, {}});
      it = entries_.erase(it);
    }
    if (any) changed_.notify_all();
  }

  void end_leases() {
    bool was_out = false;
    while (true) {
      sleep_s(0.01);
      const std::lock_guard<std::mutex> lock(mutex_);
      const double now = now_s();
      if (outage) {
        was_out = true;
        continue;
      }
      if (was_out)
        for (auto& [pass, lease] : leases_) lease.ends = now + lease.ttl;
      was_out = false;
      std::vector<std::uint64_t> ended;
      for (const auto& [pass, lease] : leases_)
        if (lease.ends < now) ended.push_back(pass);
      for (const auto pass : ended) end_lease(pass);
    }
  }

  double rps_, write_rps_;
  int txn_ops_, value_bytes_;
  double request_tokens_ = 0, request_updated_ = 0, write_tokens_ = 0, write_updated_ = 0;
  std::atomic<std::uint64_t> refused_for_rate_{0};
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Entry> entries_;
  std::deque<Change> log_;
  std::map<std::uint64_t, Lease> leases_;
  std::uint64_t epoch_ = 0, last_pass_ = 0, forgotten_ = 0;
  std::vector<std::unique_ptr<HttpServer>> servers_;
};

}  // namespace review
