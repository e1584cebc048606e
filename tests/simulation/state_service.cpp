#include "simulation/state_service.hpp"

#include <algorithm>
#include <sstream>

namespace poppystile::simulation {

using transport::HttpRequest;

namespace {
constexpr std::size_t page_items = 1000;
constexpr std::size_t page_bytes = std::size_t{512} * 1024;
constexpr std::size_t most_log = 10'000;
constexpr std::size_t most_body = std::size_t{64} * 1024;
}  // namespace

std::map<std::string, std::string> query_of(const std::string& target) {
  std::map<std::string, std::string> out;
  const auto mark = target.find('?');
  if (mark == std::string::npos) return out;
  std::stringstream rest(target.substr(mark + 1));
  for (std::string pair; std::getline(rest, pair, '&');) {
    const auto equals = pair.find('=');
    out[pair.substr(0, equals)] = equals == std::string::npos ? "" : pair.substr(equals + 1);
  }
  return out;
}

StateService::StateService(EventQueue& queue, double rps, double write_rps, int txn_ops)
    : queue_(queue),
      rps_(rps),
      write_rps_(write_rps),
      txn_ops_(txn_ops),
      requests_left_(rps),
      writes_left_(write_rps) {}

bool StateService::spend(double& left, double& at, double rate, double amount) {
  left = std::min(rate, left + (queue_.now() - at) * rate);
  at = queue_.now();
  if (left < amount) return false;
  left -= amount;
  return true;
}

void StateService::set_down(bool down) {
  down_ = down;
  if (down) return;
  // After an outage every grant has its full time again.
  for (auto& [id, lease] : leases_) {
    lease.until = queue_.now() + lease.ttl_s;
    queue_.at(lease.until, [this, id = id] { check_lease(id); });
  }
  wake();
}

void StateService::set_limits(double write_rps, int txn_ops, double value_kb) {
  write_rps_ = write_rps;
  txn_ops_ = txn_ops;
  max_value_bytes_ = static_cast<std::size_t>(value_kb * 1024);
}

void StateService::handle(const HttpRequest& request, const Reply& reply) {
  if (down_) return reply({503, R"({"error":"trouble"})"});
  if (!spend(requests_left_, requests_at_, rps_, 1)) {
    ++refused_;
    return reply({429, "{}"});
  }
  ++requests_;
  const std::string path = request.target.substr(0, request.target.find('?'));
  if (path == "/multi") return compare_and_swap(request.body, reply);
  if (path == "/follow") return watch(query_of(request.target), reply);
  if (path.starts_with("/grants")) return grant(request, reply);
  if (path == "/keys") return list(query_of(request.target), reply);
  const std::string key = path.substr(std::string("/keys/").size());
  const auto it = items_.find(key);
  if (it == items_.end()) return reply({404, Json{{"epoch", revision_}}.dump()});
  Json body = {{"key", key}, {"data", it->second.value}, {"stamp", it->second.version}};
  reply({200, body.dump()});
}

void StateService::list(const std::map<std::string, std::string>& query, const Reply& reply) {
  const std::string prefix = query.at("prefix");
  const std::string from = query.contains("from") ? query.at("from") : "";
  const std::size_t page = query.contains("page") ? std::stoul(query.at("page")) : page_items;
  Json entries = Json::array();
  std::size_t bytes = 0;
  bool more = false;
  for (auto it = items_.lower_bound(prefix); it != items_.end(); ++it) {
    if (!it->first.starts_with(prefix)) break;
    if (!from.empty() && it->first <= from) continue;
    if (entries.size() >= std::min(page, page_items) || bytes > page_bytes) {
      more = true;
      break;
    }
    bytes += it->second.value.dump().size();
    entries.push_back(
        {{"key", it->first}, {"data", it->second.value}, {"stamp", it->second.version}});
  }
  reply({200, Json{{"entries", entries}, {"more", more}, {"epoch", revision_}}.dump()});
}

void StateService::compare_and_swap(const std::string& body, const Reply& reply) {
  const Json root = protocol::parse_object(body);
  const Json when = root.value("when", Json::array());
  const Json apply = root.value("apply", Json::array());
  if (record_too_large(body, when, apply)) {
    ++invalid_;
    return reply({400, R"({"error":"too large"})"});
  }
  changes_ += apply.size();
  if (!spend(writes_left_, writes_at_, write_rps_, static_cast<double>(apply.size()))) {
    ++refused_;
    return reply({429, "{}"});
  }
  for (const Json& each : apply)
    if (each.contains("pass") && !leases_.contains(each["pass"].get<std::uint64_t>()))
      return reply({400, R"({"error":"no such lease"})"});
  Json failed = Json::array();
  for (const Json& each : when) {
    const auto it = items_.find(each.at("key").get<std::string>());
    const std::uint64_t now = it == items_.end() ? 0 : it->second.version;
    if (now != each.at("stamp").get<std::uint64_t>()) failed.push_back(each.at("key"));
  }
  if (!failed.empty()) return reply({409, Json{{"failed", failed}, {"epoch", revision_}}.dump()});
  if (!apply.empty()) ++revision_;
  for (const Json& each : apply) {
    if (each.contains("remove")) {
      erase(each["remove"].get<std::string>());
    } else {
      put(each.at("write").get<std::string>(), each.at("data"), each.value("pass", 0));
    }
  }
  wake();
  reply({200, Json{{"epoch", revision_}}.dump()});
}

bool StateService::record_too_large(const std::string& body, const Json& when,
                                    const Json& apply) const {
  const auto max_changes = static_cast<std::size_t>(txn_ops_);
  if (body.size() > most_body || apply.size() > max_changes || when.size() > 4 * max_changes)
    return true;
  return std::any_of(apply.begin(), apply.end(), [&](const Json& each) {
    return each.contains("data") && each["data"].dump().size() > max_value_bytes_;
  });
}

void StateService::put(const std::string& key, const Json& value, std::uint64_t lease) {
  items_[key] = {value, revision_, lease};
  log_.push_back({key, value, revision_});
  if (log_.size() > most_log) log_.pop_front();
}

void StateService::erase(const std::string& key) {
  if (items_.erase(key) == 0) return;
  log_.push_back({key, std::nullopt, revision_});
}

void StateService::watch(const std::map<std::string, std::string>& query, const Reply& reply) {
  auto made = std::make_shared<Watch>();
  made->prefix = query.at("prefix");
  made->from = std::stoull(query.at("from"));
  made->reply = reply;
  if (answer(*made, false)) return;
  watches_.push_back(made);
  const double hold_s = std::stod(query.at("hold_ms")) / 1000;
  queue_.after(hold_s, [this, made] {
    if (!down_) answer(*made, true);
  });
}

bool StateService::answer(Watch& watch, bool even_empty) {
  if (watch.answered) return true;
  Json log = Json::array();
  for (const auto& each : log_) {
    if (each.version <= watch.from || !each.key.starts_with(watch.prefix)) continue;
    if (each.value) {
      log.push_back({{"write", each.key}, {"data", *each.value}, {"stamp", each.version}});
    } else {
      log.push_back({{"remove", each.key}, {"stamp", each.version}});
    }
  }
  if (log.empty() && !even_empty) return false;
  watch.answered = true;
  watch.reply({200, Json{{"epoch", revision_}, {"log", log}}.dump()});
  return true;
}

void StateService::wake() {
  for (auto& each : watches_) answer(*each, false);
  std::erase_if(watches_, [](const auto& each) { return each->answered; });
}

void StateService::grant(const HttpRequest& request, const Reply& reply) {
  if (request.target == "/grants") {
    const double ttl = protocol::need_amount(protocol::parse_object(request.body), "ttl_ms") / 1000;
    const std::uint64_t id = ++leases_made_;
    leases_[id] = {ttl, queue_.now() + ttl};
    queue_.at(leases_[id].until, [this, id] { check_lease(id); });
    return reply({200, Json{{"pass", id}}.dump()});
  }
  const std::string rest = request.target.substr(std::string("/grants/").size());
  const std::uint64_t id = std::stoull(rest);
  const auto it = leases_.find(id);
  if (it == leases_.end()) return reply({404, "{}"});
  if (request.method == "DELETE") {
    it->second.until = queue_.now();
    check_lease(id);
  } else {
    it->second.until = queue_.now() + it->second.ttl_s;
    queue_.at(it->second.until, [this, id] { check_lease(id); });
  }
  reply({200, "{}"});
}

void StateService::check_lease(std::uint64_t id) {
  const auto it = leases_.find(id);
  if (down_ || it == leases_.end() || it->second.until > queue_.now()) return;
  leases_.erase(it);
  std::vector<std::string> attached;
  for (const auto& [key, item] : items_)
    if (item.lease == id) attached.push_back(key);
  if (attached.empty()) return;
  ++revision_;
  for (const auto& key : attached) erase(key);
  wake();
}

}  // namespace poppystile::simulation
