#include "simulation/cloud.hpp"

#include <cstdio>

#include "simulation/state_service.hpp"

namespace poppystile::simulation {

using protocol::Json;

namespace {
std::string pool(const std::string& type, const std::string& zone, bool spot) {
  return type + "/" + zone + (spot ? "/spot" : "/ordinary");
}
constexpr double died_listed_s = 30;  // a machine that died stays listed as running this long
}  // namespace

void Cloud::add_type(const protocol::MachineType& type, int count, int spot_count) {
  types_.push_back(type);
  for (const auto& zone : type.zones) {
    left_[pool(type.name, zone, false)] = count;
    left_[pool(type.name, zone, true)] = spot_count;
  }
}

void Cloud::handle(const transport::HttpRequest& request, const Reply& reply) {
  if (down_) return reply({503, R"({"error":"trouble"})"});
  const std::string path = request.target.substr(0, request.target.find('?'));
  if (path == "/machines/release") return release(request.body, reply);
  if (path == "/machines" && request.method == "POST") return hire(request.body, reply);
  if (path == "/machines") return list(request.target, reply);
  reply({200, protocol::encode_catalog(types_).dump()});
}

void Cloud::hire(const std::string& body, const Reply& reply) {
  const Json root = protocol::parse_object(body);
  const std::string name = root.at("hire");
  if (answers_.contains(name)) return reply({200, answers_[name]});
  const std::string type = root.at("build");
  const std::string zone = root.at("yard");
  const bool spot = root.at("loaners");
  int& left = left_[pool(type, zone, spot)];
  const int count = std::min(left, root.at("how_many").get<int>());
  if (count == 0) return reply({503, R"({"error":"no capacity"})"});
  left -= count;
  Json ids = Json::array();
  for (int i = 0; i < count; ++i) {
    char id[16];
    std::snprintf(id, sizeof(id), "n-%06d", made_++);
    ids.push_back(id);
    machines_[id] = {id, type, zone, spot, false, false, queue_.now()};
    if (queue_.chance(boot_failures_)) continue;
    for (const auto& each : types_) {
      if (each.name != type) continue;
      queue_.after(each.boot_time.count() * queue_.uniform(0.6, 1.5),
                   [this, id = std::string(id), each] {
                     const auto it = machines_.find(id);
                     if (it == machines_.end()) return;
                     it->second.up = true;
                     on_up(it->second, each);
                   });
    }
  }
  remember();
  answers_[name] = Json{{"stiles", ids}}.dump();
  reply({200, answers_[name]});
}

void Cloud::release(const std::string& body, const Reply& reply) {
  for (const Json& each : protocol::parse_object(body).at("stiles")) remove(each);
  reply({200, "{}"});
}

void Cloud::remove(const std::string& id) {
  const auto it = machines_.find(id);
  if (it == machines_.end()) return;
  ++left_[pool(it->second.type, it->second.zone, it->second.spot)];
  if (!it->second.failed) used_s_ += queue_.now() - it->second.at;
  machines_.erase(it);
  remember();
  on_machine_removed(id);
}

void Cloud::take(const std::string& id) { remove(id); }

void Cloud::fail(const std::string& id) {
  if (!machines_.contains(id)) return;
  on_machine_removed(id);
  queue_.after(died_listed_s, [this, id] {
    const auto it = machines_.find(id);
    if (it == machines_.end()) return;
    used_s_ += queue_.now() - it->second.at;
    it->second.failed = true;
    remember();
  });
}

double Cloud::machine_seconds() const {
  double sum = used_s_;
  for (const auto& [id, each] : machines_)
    if (!each.failed) sum += queue_.now() - each.at;
  return sum;
}

void Cloud::remember() {
  std::vector<Rented> now;
  for (const auto& [id, each] : machines_) now.push_back(each);
  past_.emplace_back(queue_.now(), std::move(now));
  while (past_.size() > 1 && past_[1].first < queue_.now() - 2 * list_lag_s_) past_.pop_front();
}

// As it was between no lag and twice the usual one ago.
void Cloud::list(const std::string& target, const Reply& reply) {
  const auto query = query_of(target);
  const std::string from = query.contains("from") ? query.at("from") : "";
  const double then = queue_.now() - list_lag_s_ * queue_.uniform(0.5, 2);
  const std::vector<Rented>* shown = nullptr;
  for (const auto& [time, machines] : past_)
    if (time <= then) shown = &machines;
  Json list = Json::array();
  if (shown != nullptr)
    for (const auto& each : *shown) {
      if (!from.empty() && each.id <= from) continue;
      list.push_back({{"id", each.id},
                      {"addr", "10.1.0.1:9000"},
                      {"build", each.type},
                      {"yard", each.zone},
                      {"loaners", each.spot},
                      {"stage", each.failed ? "failed"
                                : each.up   ? "running"
                                            : "booting"},
                      {"held_s", then - each.at}});
    }
  reply({200, Json{{"stiles", list}, {"more", false}}.dump()});
}

}  // namespace poppystile::simulation
