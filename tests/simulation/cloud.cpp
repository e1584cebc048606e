#include "simulation/cloud.hpp"

#include <algorithm>
#include <cstdio>

#include "simulation/state_service.hpp"

namespace poppystile::simulation {

using protocol::Json;

namespace {
constexpr Seconds failure_detection{30};  // Time until a failed machine is listed as failed.
constexpr double min_boot_factor = 0.6, max_boot_factor = 1.5;  // multiples of the type's boot time
constexpr double min_lag_factor = 0.5, max_lag_factor = 2;      // multiples of the list lag

std::string pool_name(const std::string& type, const std::string& zone, bool spot) {
  return type + "/" + zone + (spot ? "/spot" : "/ordinary");
}

Json encode(const RentedMachine& machine, double rented_for_s) {
  return {{"id", machine.id},
          {"addr", "10.1.0.1:9000"},
          {"build", machine.type},
          {"yard", machine.zone},
          {"loaners", machine.spot},
          {"stage", machine.failed   ? "failed"
                    : machine.booted ? "running"
                                     : "booting"},
          {"held_s", rented_for_s}};
}
}  // namespace

void Cloud::add_type(const protocol::MachineType& type, int count, int spot_count) {
  types_.push_back(type);
  for (const auto& zone : type.zones) {
    available_[pool_name(type.name, zone, false)] = count;
    available_[pool_name(type.name, zone, true)] = spot_count;
  }
}

void Cloud::handle(const transport::HttpRequest& request, const OnResponse& respond) {
  if (down_) return respond({503, R"({"error":"trouble"})"});
  const std::string path = request.target.substr(0, request.target.find('?'));
  if (path == "/machines/release") return release(request.body, respond);
  if (path == "/machines" && request.method == "POST") return rent(request.body, respond);
  if (path == "/machines") return list(request.target, respond);
  respond({200, protocol::encode_catalog(types_).dump()});
}

void Cloud::rent(const std::string& body, const OnResponse& respond) {
  const Json root = protocol::parse_object(body);
  const std::string request_name = root.at("hire");
  if (rental_responses_.contains(request_name))
    return respond({200, rental_responses_[request_name]});
  const std::string type = root.at("build");
  const std::string zone = root.at("yard");
  const bool spot = root.at("loaners");
  int& available = available_[pool_name(type, zone, spot)];
  const int count = std::min(available, root.at("how_many").get<int>());
  if (count == 0) return respond({503, R"({"error":"no capacity"})"});
  available -= count;
  Json ids = Json::array();
  for (int i = 0; i < count; ++i) ids.push_back(add_machine(type, zone, spot));
  record_snapshot();
  rental_responses_[request_name] = Json{{"stiles", ids}}.dump();
  respond({200, rental_responses_[request_name]});
}

std::string Cloud::add_machine(const std::string& type, const std::string& zone, bool spot) {
  char id[16];
  std::snprintf(id, sizeof(id), "n-%06d", next_machine_++);
  machines_[id] = {id, type, zone, spot, false, false, queue_.now()};
  if (queue_.chance(boot_failure_share_)) return id;
  for (const auto& each : types_)
    if (each.name == type) schedule_boot(id, each);
  return id;
}

void Cloud::schedule_boot(const std::string& id, const protocol::MachineType& type) {
  queue_.after(type.boot_time * queue_.uniform(min_boot_factor, max_boot_factor), [this, id, type] {
    const auto it = machines_.find(id);
    if (it == machines_.end()) return;
    it->second.booted = true;
    on_machine_booted(it->second, type);
  });
}

void Cloud::release(const std::string& body, const OnResponse& respond) {
  for (const Json& id : protocol::parse_object(body).at("stiles")) remove(id);
  respond({200, "{}"});
}

void Cloud::remove(const std::string& id) {
  const auto it = machines_.find(id);
  if (it == machines_.end()) return;
  const RentedMachine& machine = it->second;
  ++available_[pool_name(machine.type, machine.zone, machine.spot)];
  if (!machine.failed) released_machine_seconds_ += queue_.now() - machine.rented_at;
  machines_.erase(it);
  record_snapshot();
  on_machine_removed(id);
}

void Cloud::fail(const std::string& id) {
  if (!machines_.contains(id)) return;
  on_machine_removed(id);
  queue_.after(failure_detection, [this, id] {
    const auto it = machines_.find(id);
    if (it == machines_.end()) return;
    released_machine_seconds_ += queue_.now() - it->second.rented_at;
    it->second.failed = true;
    record_snapshot();
  });
}

double Cloud::machine_seconds() const {
  double sum = released_machine_seconds_;
  for (const auto& [id, machine] : machines_)
    if (!machine.failed) sum += queue_.now() - machine.rented_at;
  return sum;
}

void Cloud::record_snapshot() {
  std::vector<RentedMachine> now;
  for (const auto& [id, machine] : machines_) now.push_back(machine);
  snapshots_.emplace_back(queue_.now(), std::move(now));
  while (snapshots_.size() > 1 && snapshots_[1].first < queue_.now() - max_lag_factor * list_lag_s_)
    snapshots_.pop_front();
}

void Cloud::list(const std::string& target, const OnResponse& respond) {
  const auto query = query_of(target);
  const std::string from = query.contains("from") ? query.at("from") : "";
  const double as_of = queue_.now() - list_lag_s_ * queue_.uniform(min_lag_factor, max_lag_factor);
  const std::vector<RentedMachine>* snapshot = nullptr;
  for (const auto& [time, machines] : snapshots_)
    if (time <= as_of) snapshot = &machines;
  Json list = Json::array();
  if (snapshot != nullptr)
    for (const auto& machine : *snapshot)
      if (from.empty() || machine.id > from)
        list.push_back(encode(machine, as_of - machine.rented_at));
  respond({200, Json{{"stiles", list}, {"more", false}}.dump()});
}

}  // namespace poppystile::simulation
