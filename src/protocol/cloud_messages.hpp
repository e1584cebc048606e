/// \file
/// The cloud's catalog of machine types, rentals, releases and machine lists.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "clock.hpp"
#include "protocol/json.hpp"
#include "protocol/resources.hpp"

namespace poppystile::protocol {

/// A type of machine that the cloud rents out.
struct MachineType {
  std::string name;
  Resources size;
  double cache_gb = 0;        ///< Room for images.
  double fetch_gb_per_s = 1;  ///< Above 0.
  double price = 0;
  double spot_price = 0;
  Seconds boot_time{0};
  std::vector<std::string> zones;  ///< Where it is offered.
};

enum class MachineState : std::uint8_t { booting, running, failed };

/// A rented machine as the cloud lists it.
struct ListedMachine {
  std::string id;
  std::string address;
  std::string type;
  std::string zone;
  bool spot = false;
  MachineState state = MachineState::booting;
  Seconds age{0};  ///< Since it was rented.
};

/// One page of the machine list.
struct MachineList {
  std::vector<ListedMachine> machines;
  bool more = false;
};

inline constexpr const char* catalog_path = "/catalog";
inline constexpr const char* rentals_path = "/machines";
inline constexpr const char* release_path = "/machines/release";

/// The path of the page that follows the machine `after`; empty for the first.
std::string list_path(const std::string& after);

// All parsers throw DecodeError.

std::vector<MachineType> parse_catalog(const Json& root);
/// The inverse of `parse_catalog`.
Json encode_catalog(const std::vector<MachineType>& types);

/// Asks for machines; repeating `request` rents nothing more.
std::string encode_rental(const std::string& request, const std::string& type,
                          const std::string& zone, bool spot, int count);
/// The names of the machines that were rented.
std::vector<std::string> parse_rented(const std::string& body);

std::string encode_release(const std::vector<std::string>& machines);

MachineList parse_machine_list(const std::string& body);

}  // namespace poppystile::protocol
