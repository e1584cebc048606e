// The cloud's catalog, rentals, releases and lists.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "protocol/json.hpp"
#include "protocol/submission.hpp"

namespace poppystile::protocol {

struct MachineType {
  std::string name;
  Resources size;
  double cache_gb = 0;
  double fetch_gb_per_s = 1;
  double price = 0;
  double spot_price = 0;
  Seconds boot_time{0};
  std::vector<std::string> zones;
};

enum class MachineState : std::uint8_t { booting, running, failed };

struct ListedMachine {
  std::string id;
  std::string address;
  std::string type;
  std::string zone;
  bool spot = false;
  MachineState state = MachineState::booting;
  Seconds age{0};
};

struct MachineList {
  std::vector<ListedMachine> machines;
  bool more = false;
};

// All parsers throw DecodeError.
std::vector<MachineType> parse_catalog(const Json& root);
Json encode_catalog(const std::vector<MachineType>& types);
std::string encode_rental(const std::string& request, const std::string& type,
                          const std::string& zone, bool spot, int count);
std::vector<std::string> parse_rented(const std::string& body);
std::string encode_release(const std::vector<std::string>& machines);
MachineList parse_machine_list(const std::string& body);

inline constexpr const char* catalog_path = "/catalog";
inline constexpr const char* rentals_path = "/machines";
inline constexpr const char* release_path = "/machines/release";
std::string list_path(const std::string& after);

}  // namespace poppystile::protocol
