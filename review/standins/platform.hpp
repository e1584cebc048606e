// Stand-ins for the state service and the cloud, as PROTOCOL-poppystile.md describes them.
#pragma once

#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "net.hpp"

namespace standin {

inline std::string query_value(const std::string& target, const std::string& name) {
  const auto mark = target.find('?');
  if (mark == std::string::npos) return "";
  std::size_t at = mark + 1;
  while (at < target.size()) {
    const auto end = std::min(target.find('&', at), target.size());
    const std::string part = target.substr(at, end - at);
    if (part.rfind(name + "=", 0) == 0) return part.substr(name.size() + 1);
    at = end + 1;
  }
  return "";
}

/// Requests a second, with bursts of `burst_s` seconds' worth.
class RateLimit {
 public:
  RateLimit(double rate, double burst_s) : rate_(rate), burst_(rate * burst_s), left_(burst_) {}
  bool take(double amount) {
    const double at = now();
    left_ = std::min(burst_, left_ + (at - last_) * rate_);
    last_ = at;
    if (left_ < amount) return false;
    left_ -= amount;
    return true;
  }

 private:
  double rate_, burst_, left_, last_ = 0;
};

/// The key-value store. One gate for each controller, so that each can be cut off alone.
class StateService {
 public:
  StateService(int controllers, double rps, double write_rps, std::size_t value_kb, std::size_t ops)
      : requests_(rps, 1), writes_(write_rps, 1), value_bytes_(value_kb * 1024), ops_(ops) {
    for (int i = 0; i < controllers; ++i)
      gates_.push_back(std::make_unique<Gate>([this, i](int fd) {
        serve_http(fd, i, [this](const Request& request) { return handle(request); });
      }));
    std::thread([this] {
      for (;;) {
        sleep_s(0.02);
        expire_leases();
      }
    }).detach();
  }

  Gate& gate(int controller) { return *gates_[static_cast<std::size_t>(controller)]; }

  /// Requests of this controller get 503 while `refused`; open watches wait.
  void refuse(int controller, bool refused) {
    const std::lock_guard lock(mutex_);
    if (refused) refused_.insert(controller); else refused_.erase(controller);
  }

  std::optional<Json> value(const std::string& key) {
    const std::lock_guard lock(mutex_);
    const auto found = entries_.find(key);
    if (found == entries_.end()) return std::nullopt;
    return found->second.data;
  }

  std::size_t count(const std::string& prefix) {
    const std::lock_guard lock(mutex_);
    std::size_t sum = 0;
    for (auto it = entries_.lower_bound(prefix);
         it != entries_.end() && it->first.compare(0, prefix.size(), prefix) == 0; ++it)
      ++sum;
    return sum;
  }

  /// Writes keys one after another, each as a change of its own.
  void put(const std::vector<std::string>& keys, const Json& data) {
    const std::lock_guard lock(mutex_);
    for (const auto& key : keys) {
      ++epoch_;
      entries_[key] = {data, epoch_, 0};
      log(key, data);
    }
    changed_.notify_all();
  }

 private:
  struct Entry {
    Json data;
    std::uint64_t stamp = 0;
    std::uint64_t pass = 0;
  };
  struct Lease {
    double ttl = 0;
    double ends = 0;
  };
  struct Change {
    std::string key;
    std::optional<Json> data;
    std::uint64_t stamp = 0;
  };

  static Response error(int status, const std::string& text) {
    return {status, Json{{"error", text}}.dump()};
  }

  void log(const std::string& key, std::optional<Json> data) {
    log_.push_back({key, std::move(data), epoch_});
    if (log_.size() > 10000) log_.pop_front();
  }

  void erase(const std::string& key) {
    if (entries_.erase(key) == 0) return;
    log(key, std::nullopt);
  }

  void end_lease(std::uint64_t pass) {
    leases_.erase(pass);
    std::vector<std::string> keys;
    for (const auto& [key, entry] : entries_)
      if (entry.pass == pass) keys.push_back(key);
    if (keys.empty()) return;
    ++epoch_;
    for (const auto& key : keys) {
      record().line("state: lease " + std::to_string(pass) + " ended, key removed: " + key);
      erase(key);
    }
    changed_.notify_all();
  }

  void expire_leases() {
    const std::lock_guard lock(mutex_);
    std::vector<std::uint64_t> ended;
    for (const auto& [pass, lease] : leases_)
      if (lease.ends <= now()) ended.push_back(pass);
    for (const auto pass : ended) end_lease(pass);
  }

  Response handle(const Request& request) {
    std::unique_lock lock(mutex_);
    if (refused_.contains(request.peer)) return error(503, "unavailable");
    if (!requests_.take(1)) return error(429, "too many requests");
    const std::string path = request.target.substr(0, request.target.find('?'));
    try {
      if (path == "/follow") return follow(request, lock);
      if (path == "/multi" && request.method == "POST") return multi(Json::parse(request.body));
      if (path == "/keys") return list(request);
      if (path.rfind("/keys/", 0) == 0) return get(path.substr(6));
      if (path.rfind("/grants", 0) == 0) return grants(request, path);
    } catch (const std::exception& problem) {
      return error(400, problem.what());
    }
    return error(400, "malformed");
  }

  Response get(const std::string& key) {
    const auto found = entries_.find(key);
    if (found == entries_.end()) return {404, Json{{"epoch", epoch_}}.dump()};
    const Entry& entry = found->second;
    return {200, Json{{"key", key}, {"data", entry.data}, {"stamp", entry.stamp},
                      {"pass", entry.pass == 0 ? Json() : Json(entry.pass)}}.dump()};
  }

  Response list(const Request& request) {
    const std::string prefix = query_value(request.target, "prefix");
    const std::string from = query_value(request.target, "from");
    const std::string page = query_value(request.target, "page");
    const std::size_t most = std::min<std::size_t>(1000, page.empty() ? 1000 : std::stoul(page));
    Json items = Json::array();
    std::size_t bytes = 0;
    bool more = false;
    auto it = from.empty() ? entries_.lower_bound(prefix) : entries_.upper_bound(from);
    for (; it != entries_.end() && it->first.compare(0, prefix.size(), prefix) == 0; ++it) {
      Json item = {{"key", it->first}, {"data", it->second.data}, {"stamp", it->second.stamp}};
      bytes += item.dump().size() + 1;
      if (items.size() == most || bytes > 500 * 1024) {
        more = true;
        break;
      }
      items.push_back(std::move(item));
    }
    return {200, Json{{"entries", items}, {"more", more}, {"epoch", epoch_}}.dump()};
  }

  Response multi(const Json& body) {
    const Json when = body.value("when", Json::array());
    const Json apply = body.value("apply", Json::array());
    if (apply.size() > ops_ || when.size() > 4 * ops_) return error(400, "too many");
    for (const auto& change : apply) {
      if (change.contains("data") && change["data"].dump().size() > value_bytes_)
        return error(400, "value too large");
      if (change.contains("pass") && !change["pass"].is_null() &&
          !leases_.contains(change["pass"].get<std::uint64_t>()))
        return error(400, "no such lease");
    }
    if (!writes_.take(static_cast<double>(apply.size()))) return error(429, "too many changes");
    Json failed = Json::array();
    for (const auto& condition : when) {
      const auto found = entries_.find(condition["key"].get<std::string>());
      const std::uint64_t stamp = found == entries_.end() ? 0 : found->second.stamp;
      if (stamp != condition["stamp"].get<std::uint64_t>()) failed.push_back(condition["key"]);
    }
    if (!failed.empty()) return {409, Json{{"failed", failed}, {"epoch", epoch_}}.dump()};
    if (apply.empty()) return {200, Json{{"epoch", epoch_}}.dump()};
    ++epoch_;
    for (const auto& change : apply) {
      if (change.contains("remove")) {
        erase(change["remove"].get<std::string>());
        continue;
      }
      const std::string key = change["write"].get<std::string>();
      const bool leased = change.contains("pass") && !change["pass"].is_null();
      entries_[key] = {change["data"], epoch_, leased ? change["pass"].get<std::uint64_t>() : 0};
      log(key, change["data"]);
      if (key == "shared/ctl/leader")
        record().line("state: leader key written: " + change["data"].dump());
    }
    changed_.notify_all();
    return {200, Json{{"epoch", epoch_}}.dump()};
  }

  Response grants(const Request& request, const std::string& path) {
    if (path == "/grants") {
      const double ttl = Json::parse(request.body).at("ttl_ms").get<double>() / 1000;
      if (ttl < 0.1 || ttl > 600) return error(400, "ttl_ms");
      const std::uint64_t pass = ++last_pass_;
      leases_[pass] = {ttl, now() + ttl};
      return {200, Json{{"pass", pass}}.dump()};
    }
    const std::uint64_t pass = std::stoull(path.substr(8));
    const auto found = leases_.find(pass);
    if (found == leases_.end()) return error(404, "no such lease");
    if (request.method == "DELETE") {
      end_lease(pass);
      return {200, "{}"};
    }
    found->second.ends = now() + found->second.ttl;
    return {200, "{}"};
  }

  Response follow(const Request& request, std::unique_lock<std::mutex>& lock) {
    const std::string prefix = query_value(request.target, "prefix");
    const std::uint64_t from = std::stoull(query_value(request.target, "from"));
    const std::string hold = query_value(request.target, "hold_ms");
    const double until = now() + (hold.empty() ? 0 : std::stod(hold) / 1000);
    for (;;) {
      if (!log_.empty() && log_.front().stamp > from + 1 && log_.size() >= 10000)
        return error(410, "compacted");
      Json events = Json::array();
      for (auto it = log_.rbegin(); it != log_.rend() && it->stamp > from; ++it) {
        if (it->key.compare(0, prefix.size(), prefix) != 0) continue;
        if (it->data)
          events.push_back({{"write", it->key}, {"data", *it->data}, {"stamp", it->stamp}});
        else
          events.push_back({{"remove", it->key}, {"stamp", it->stamp}});
      }
      std::reverse(events.begin(), events.end());
      const bool waits = refused_.contains(request.peer);
      if (!waits && (!events.empty() || now() >= until))
        return {200, Json{{"epoch", epoch_}, {"log", events}}.dump()};
      changed_.wait_for(lock, std::chrono::milliseconds(20));
    }
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  RateLimit requests_, writes_;
  std::size_t value_bytes_, ops_;
  std::map<std::string, Entry> entries_;
  std::map<std::uint64_t, Lease> leases_;
  std::deque<Change> log_;
  std::uint64_t epoch_ = 1;
  std::uint64_t last_pass_ = 0;
  std::set<int> refused_;
  std::vector<std::unique_ptr<Gate>> gates_;
};

struct MachineInfo {
  std::string id, type, zone;
  bool spot = false;
  double rented_at = 0;
  std::optional<double> gone_at;
};

/// The cloud. `on_rented` starts a machine's worker, `on_released` ends it at once.
class Cloud {
 public:
  Cloud(int controllers, Json catalog, double lag, int most)
      : catalog_(std::move(catalog)), lag_(lag), most_(most) {
    for (int i = 0; i < controllers; ++i)
      gates_.push_back(std::make_unique<Gate>([this, i](int fd) {
        serve_http(fd, i, [this](const Request& request) { return handle(request); });
      }));
  }

  Gate& gate(int controller) { return *gates_[static_cast<std::size_t>(controller)]; }

  std::function<void(const MachineInfo&)> on_rented;
  std::function<void(const std::string&)> on_released;
  /// Runs before a release is carried out; false: the request is lost, and no response is sent.
  std::function<bool(int controller)> before_release;

  /// The machine was taken without a notice: it is not listed any more.
  void take(const std::string& id) {
    const std::lock_guard lock(mutex_);
    machines_[id].gone_at = now();
  }

 private:
  Response handle(const Request& request) {
    const std::string path = request.target.substr(0, request.target.find('?'));
    if (path == "/catalog") return {200, catalog_.dump()};
    if (path == "/machines/release") return release(request);
    if (path == "/machines" && request.method == "POST") return rent(Json::parse(request.body));
    if (path == "/machines") return list(request);
    return {400, "{}"};
  }

  Response rent(const Json& body) {
    const std::string hire = body.at("hire");
    std::vector<MachineInfo> rented;
    Json names = Json::array();
    {
      const std::lock_guard lock(mutex_);
      if (const auto known = hires_.find(hire); known != hires_.end())
        return {200, Json{{"stiles", known->second}}.dump()};
      int there = 0;
      for (const auto& [id, machine] : machines_) there += machine.gone_at ? 0 : 1;
      const int count = std::min(body.at("how_many").get<int>(), most_ - there);
      if (count <= 0) return {503, R"({"error":"no capacity"})"};
      for (int i = 0; i < count; ++i) {
        char id[16];
        std::snprintf(id, sizeof id, "n-%06d", ++last_);
        const MachineInfo machine{id, body.at("build"), body.at("yard"), body.at("loaners"), now(),
                                  {}};
        machines_[id] = machine;
        rented.push_back(machine);
        names.push_back(id);
      }
      hires_[hire] = names;
    }
    record().line("cloud: rented " + names.dump() + " for " + hire);
    for (const auto& machine : rented) on_rented(machine);
    return {200, Json{{"stiles", names}}.dump()};
  }

  Response release(const Request& request) {
    if (before_release && !before_release(request.peer)) return {};
    const Json names = Json::parse(request.body).at("stiles");
    record().line("cloud: release " + names.dump() + " ordered by controller " +
                  std::to_string(request.peer));
    for (const auto& name : names) {
      {
        const std::lock_guard lock(mutex_);
        const auto found = machines_.find(name.get<std::string>());
        if (found == machines_.end() || found->second.gone_at) continue;
        found->second.gone_at = now();
      }
      on_released(name.get<std::string>());
    }
    return {200, "{}"};
  }

  Response list(const Request& request) {
    const std::string from = query_value(request.target, "from");
    const std::lock_guard lock(mutex_);
    const double at = now() - lag_;
    Json items = Json::array();
    for (const auto& [id, machine] : machines_) {
      if (id <= from || machine.rented_at > at || (machine.gone_at && *machine.gone_at <= at))
        continue;
      items.push_back({{"id", id}, {"addr", "127.0.0.1:1"}, {"build", machine.type},
                       {"yard", machine.zone}, {"loaners", machine.spot}, {"stage", "running"},
                       {"held_s", at - machine.rented_at}});
    }
    return {200, Json{{"stiles", items}, {"more", false}}.dump()};
  }

  std::mutex mutex_;
  Json catalog_;
  double lag_;
  int most_;
  int last_ = 0;
  std::map<std::string, MachineInfo> machines_;
  std::map<std::string, Json> hires_;
  std::vector<std::unique_ptr<Gate>> gates_;
};

}  // namespace standin
