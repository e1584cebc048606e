#include "protocol/cloud_messages.hpp"

#include <utility>

#include "protocol/wire_names.hpp"

namespace poppystile::protocol {

namespace {

// Machines per page of the machine list; the cloud allows no more.
constexpr int list_page_size = 500;

// Fields that only machine types have.
constexpr const char* type_name_field = "sku";
constexpr const char* cache_size_field = "local_gb";
constexpr const char* fetch_rate_field = "fetch_gb_per_s";
constexpr const char* price_field = "rate";
constexpr const char* spot_price_field = "low_price";
constexpr const char* boot_time_field = "boot_s";

MachineType parse_machine_type(const Json& object) {
  MachineType type;
  type.name = need_text(object, type_name_field);
  type.size = parse_resources(object);
  type.cache_gb = need_amount(object, cache_size_field);
  type.fetch_gb_per_s = need_amount(object, fetch_rate_field);
  type.price = need_amount(object, price_field);
  type.spot_price = need_amount(object, spot_price_field);
  type.boot_time = need_seconds(object, boot_time_field);
  type.zones = need_texts(object, wire::zones);
  if (type.size.cpus <= 0 || type.fetch_gb_per_s <= 0)
    throw DecodeError(wire::machine_types, "out of range");
  return type;
}

Json encode_machine_type(const MachineType& type) {
  Json out = {{type_name_field, type.name},
              {cache_size_field, type.cache_gb},
              {fetch_rate_field, type.fetch_gb_per_s},
              {price_field, type.price},
              {spot_price_field, type.spot_price},
              {boot_time_field, type.boot_time.count()},
              {wire::zones, type.zones}};
  encode_resources(type.size, out);
  return out;
}

/// An unknown state, as a newer cloud may send, is treated as running.
MachineState parse_machine_state(const std::string& wire_value) {
  if (wire_value == "failed") return MachineState::failed;
  if (wire_value == "booting") return MachineState::booting;
  return MachineState::running;
}

ListedMachine parse_listed_machine(const Json& object) {
  ListedMachine machine;
  machine.id = need_text(object, "id");
  machine.type = need_text(object, wire::machine_type);
  machine.zone = need_text(object, wire::zone);
  machine.spot = need_flag(object, wire::spot);
  machine.state = parse_machine_state(need_text(object, wire::state));
  machine.age = need_seconds(object, "held_s");
  return machine;
}

}  // namespace

std::vector<MachineType> parse_catalog(const Json& root) {
  std::vector<MachineType> out;
  for (const Json& item : need_list(root, wire::machine_types))
    out.push_back(parse_machine_type(item));
  return out;
}

Json encode_catalog(const std::vector<MachineType>& types) {
  Json list = Json::array();
  for (const auto& item : types) list.push_back(encode_machine_type(item));
  return {{wire::machine_types, std::move(list)}};
}

std::string encode_rental(const std::string& request, const std::string& type,
                          const std::string& zone, bool spot, int count) {
  return Json{{"hire", request},
              {wire::machine_type, type},
              {wire::zone, zone},
              {wire::spot, spot},
              {"how_many", count}}
      .dump();
}

std::vector<std::string> parse_rented(const std::string& body) {
  return need_texts(parse_object(body), wire::machines);
}

std::string encode_release(const std::vector<std::string>& machines) {
  return Json{{wire::machines, machines}}.dump();
}

std::string list_path(const std::string& after) {
  return std::string(rentals_path) + "?from=" + after + "&page=" + std::to_string(list_page_size);
}

MachineList parse_machine_list(const std::string& body) {
  const Json root = parse_object(body);
  MachineList out;
  out.more = need_flag(root, wire::more);
  for (const Json& item : need_list(root, wire::machines))
    out.machines.push_back(parse_listed_machine(item));
  return out;
}

}  // namespace poppystile::protocol
