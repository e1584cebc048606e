#include "simulation/state_service.hpp"

#include <algorithm>
#include <sstream>

namespace poppystile::simulation {

using transport::HttpRequest;

namespace {
constexpr std::size_t page_items = 1000;
constexpr std::size_t page_bytes = std::size_t{512} * 1024;
constexpr std::size_t max_log_changes = 10'000;
constexpr std::size_t max_body_bytes = std::size_t{64} * 1024;
}  // namespace

std::map<std::string, std::string> query_of(const std::string& target) {
  std::map<std::string, std::string> out;
  const auto question_mark = target.find('?');
  if (question_mark == std::string::npos) return out;
  std::stringstream rest(target.substr(question_mark + 1));
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
      request_bucket_{rps, 0},
      write_bucket_{write_rps, 0} {}

bool StateService::take_tokens(TokenBucket& bucket, double rate, double amount) {
  bucket.tokens = std::min(rate, bucket.tokens + (queue_.now() - bucket.filled_at) * rate);
  bucket.filled_at = queue_.now();
  if (bucket.tokens < amount) return false;
  bucket.tokens -= amount;
  return true;
}

void StateService::set_down(bool down) {
  down_ = down;
  if (down) return;
  for (auto& [id, lease] : leases_) schedule_expiry(id);
  respond_to_watches();
}

void StateService::set_limits(double write_rps, int txn_ops, double value_kb) {
  write_rps_ = write_rps;
  txn_ops_ = txn_ops;
  max_value_bytes_ = static_cast<std::size_t>(value_kb * 1024);
}

void StateService::handle(const HttpRequest& request, const OnResponse& respond) {
  if (down_) return respond({503, R"({"error":"trouble"})"});
  if (!take_tokens(request_bucket_, rps_, 1)) {
    ++refused_;
    return respond({429, "{}"});
  }
  ++requests_;
  const std::string path = request.target.substr(0, request.target.find('?'));
  if (path == "/multi") return compare_and_swap(request.body, respond);
  if (path == "/follow") return watch(query_of(request.target), respond);
  if (path.starts_with("/grants")) return handle_lease(request, respond);
  if (path == "/keys") return list(query_of(request.target), respond);
  const std::string key = path.substr(std::string("/keys/").size());
  const auto it = items_.find(key);
  if (it == items_.end()) return respond({404, Json{{"epoch", revision_}}.dump()});
  Json body = {{"key", key}, {"data", it->second.value}, {"stamp", it->second.version}};
  respond({200, body.dump()});
}

void StateService::list(const std::map<std::string, std::string>& query,
                        const OnResponse& respond) {
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
  respond({200, Json{{"entries", entries}, {"more", more}, {"epoch", revision_}}.dump()});
}

void StateService::compare_and_swap(const std::string& body, const OnResponse& respond) {
  const Json root = protocol::parse_object(body);
  const Json when = root.value("when", Json::array());
  const Json apply = root.value("apply", Json::array());
  if (is_too_large(body, when, apply)) {
    ++invalid_;
    return respond({400, R"({"error":"too large"})"});
  }
  changes_ += apply.size();
  if (!take_tokens(write_bucket_, write_rps_, static_cast<double>(apply.size()))) {
    ++refused_;
    return respond({429, "{}"});
  }
  for (const Json& each : apply)
    if (each.contains("pass") && !leases_.contains(each["pass"].get<std::uint64_t>()))
      return respond({400, R"({"error":"no such lease"})"});
  Json failed = Json::array();
  for (const Json& each : when) {
    const auto it = items_.find(each.at("key").get<std::string>());
    const std::uint64_t now = it == items_.end() ? 0 : it->second.version;
    if (now != each.at("stamp").get<std::uint64_t>()) failed.push_back(each.at("key"));
  }
  if (!failed.empty()) return respond({409, Json{{"failed", failed}, {"epoch", revision_}}.dump()});
  if (!apply.empty()) ++revision_;
  for (const Json& each : apply) {
    if (each.contains("remove")) {
      erase(each["remove"].get<std::string>());
    } else {
      put(each.at("write").get<std::string>(), each.at("data"), each.value("pass", 0));
    }
  }
  respond_to_watches();
  respond({200, Json{{"epoch", revision_}}.dump()});
}

bool StateService::is_too_large(const std::string& body, const Json& when,
                                const Json& apply) const {
  const auto max_changes = static_cast<std::size_t>(txn_ops_);
  if (body.size() > max_body_bytes || apply.size() > max_changes || when.size() > 4 * max_changes)
    return true;
  return std::any_of(apply.begin(), apply.end(), [&](const Json& each) {
    return each.contains("data") && each["data"].dump().size() > max_value_bytes_;
  });
}

void StateService::put(const std::string& key, const Json& value, std::uint64_t lease) {
  items_[key] = {value, revision_, lease};
  changes_log_.push_back({key, value, revision_});
  if (changes_log_.size() > max_log_changes) changes_log_.pop_front();
}

void StateService::erase(const std::string& key) {
  if (items_.erase(key) == 0) return;
  changes_log_.push_back({key, std::nullopt, revision_});
}

void StateService::watch(const std::map<std::string, std::string>& query,
                         const OnResponse& respond) {
  auto opened = std::make_shared<Watch>();
  opened->prefix = query.at("prefix");
  opened->after_revision = std::stoull(query.at("from"));
  opened->respond = respond;
  if (respond_to_watch(*opened, false)) return;
  watches_.push_back(opened);
  const Seconds timeout{std::stod(query.at("hold_ms")) / 1000};
  queue_.after(timeout, [this, opened] {
    if (!down_) respond_to_watch(*opened, true);
  });
}

bool StateService::respond_to_watch(Watch& watch, bool allow_empty) {
  if (watch.responded) return true;
  Json log = Json::array();
  for (const auto& each : changes_log_) {
    if (each.version <= watch.after_revision || !each.key.starts_with(watch.prefix)) continue;
    if (each.value) {
      log.push_back({{"write", each.key}, {"data", *each.value}, {"stamp", each.version}});
    } else {
      log.push_back({{"remove", each.key}, {"stamp", each.version}});
    }
  }
  if (log.empty() && !allow_empty) return false;
  watch.responded = true;
  watch.respond({200, Json{{"epoch", revision_}, {"log", log}}.dump()});
  return true;
}

void StateService::respond_to_watches() {
  for (auto& each : watches_) respond_to_watch(*each, false);
  std::erase_if(watches_, [](const auto& each) { return each->responded; });
}

void StateService::handle_lease(const HttpRequest& request, const OnResponse& respond) {
  if (request.target == "/grants") {
    const double ttl = protocol::need_amount(protocol::parse_object(request.body), "ttl_ms") / 1000;
    const std::uint64_t id = ++last_lease_;
    leases_[id].ttl_s = ttl;
    schedule_expiry(id);
    return respond({200, Json{{"pass", id}}.dump()});
  }
  const std::string rest = request.target.substr(std::string("/grants/").size());
  const std::uint64_t id = std::stoull(rest);
  const auto it = leases_.find(id);
  if (it == leases_.end()) return respond({404, "{}"});
  if (request.method == "DELETE") {
    it->second.expires_at = queue_.now();
    expire_if_due(id);
  } else {
    schedule_expiry(id);
  }
  respond({200, "{}"});
}

// Renews the lease for its full time to live.
void StateService::schedule_expiry(std::uint64_t id) {
  Lease& lease = leases_.at(id);
  lease.expires_at = queue_.now() + lease.ttl_s;
  queue_.at(lease.expires_at, [this, id] { expire_if_due(id); });
}

void StateService::expire_if_due(std::uint64_t id) {
  const auto it = leases_.find(id);
  if (down_ || it == leases_.end() || it->second.expires_at > queue_.now()) return;
  leases_.erase(it);
  std::vector<std::string> attached;
  for (const auto& [key, item] : items_)
    if (item.lease == id) attached.push_back(key);
  if (attached.empty()) return;
  ++revision_;
  for (const auto& key : attached) erase(key);
  respond_to_watches();
}

}  // namespace poppystile::simulation
