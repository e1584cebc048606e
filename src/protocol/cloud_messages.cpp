#include "protocol/cloud_messages.hpp"

namespace poppystile::protocol {

std::vector<MachineType> parse_catalog(const Json& root) {
  std::vector<MachineType> out;
  for (const Json& each : need_list(root, "builds")) {
    MachineType type;
    type.name = need_text(each, "sku");
    type.size = {std::llround(need_amount(each, "cores") * 1000),
                 std::llround(need_amount(each, "gpus") * 1000),
                 std::llround(need_amount(each, "ram_gb") * 1000)};
    type.cache_gb = need_amount(each, "local_gb");
    type.fetch_gb_per_s = need_amount(each, "fetch_gb_per_s");
    type.price = need_amount(each, "rate");
    type.spot_price = need_amount(each, "low_price");
    type.boot_time = need_seconds(each, "boot_s");
    for (const Json& zone : need_list(each, "yards")) type.zones.push_back(as_text(zone, "yards"));
    if (type.size.cpus <= 0 || type.fetch_gb_per_s <= 0) throw DecodeError("builds out of range");
    out.push_back(std::move(type));
  }
  return out;
}

Json encode_catalog(const std::vector<MachineType>& types) {
  Json list = Json::array();
  for (const auto& each : types)
    list.push_back({{"sku", each.name},
                    {"cores", static_cast<double>(each.size.cpus) / 1000},
                    {"gpus", static_cast<double>(each.size.gpus) / 1000},
                    {"ram_gb", static_cast<double>(each.size.memory) / 1000},
                    {"local_gb", each.cache_gb},
                    {"fetch_gb_per_s", each.fetch_gb_per_s},
                    {"rate", each.price},
                    {"low_price", each.spot_price},
                    {"boot_s", each.boot_time.count()},
                    {"yards", each.zones}});
  return {{"builds", std::move(list)}};
}

std::string encode_rental(const std::string& request, const std::string& type,
                          const std::string& zone, bool spot, int count) {
  return Json{
      {"hire", request}, {"build", type}, {"yard", zone}, {"loaners", spot}, {"how_many", count}}
      .dump();
}

std::vector<std::string> parse_rented(const std::string& body) {
  const Json root = parse_object(body);
  std::vector<std::string> out;
  for (const Json& each : need_list(root, "stiles")) out.push_back(as_text(each, "stiles"));
  return out;
}

std::string encode_release(const std::vector<std::string>& machines) {
  return Json{{"stiles", machines}}.dump();
}

std::string list_path(const std::string& after) {
  return std::string(rentals_path) + "?from=" + after + "&page=500";
}

MachineList parse_machine_list(const std::string& body) {
  const Json root = parse_object(body);
  MachineList out;
  out.more = need_flag(root, "more");
  for (const Json& each : need_list(root, "stiles")) {
    ListedMachine machine;
    machine.id = need_text(each, "id");
    machine.type = need_text(each, "build");
    machine.zone = need_text(each, "yard");
    machine.spot = need_flag(each, "loaners");
    const std::string state = need_text(each, "stage");
    machine.state = state == "failed"    ? MachineState::failed
                    : state == "booting" ? MachineState::booting
                                         : MachineState::running;
    machine.age = need_seconds(each, "held_s");
    out.machines.push_back(std::move(machine));
  }
  return out;
}

}  // namespace poppystile::protocol
