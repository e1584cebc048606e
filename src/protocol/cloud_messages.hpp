/// \file
/// Messages of the cloud's API: catalog of machine types, rentals, releases and machine lists.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "clock.hpp"
#include "protocol/json.hpp"
#include "protocol/resources.hpp"

namespace poppystile::protocol {

/// A machine type in the cloud's catalog.
struct MachineType {
  std::string name;
  Resources size;
  double cache_gb = 0;        ///< Capacity of the local image cache.
  double fetch_gb_per_s = 1;  ///< Rate at which images are fetched; always above 0.
  double price = 0;
  double spot_price = 0;
  Seconds boot_time{0};
  std::vector<std::string> zones;  ///< Zones that offer this type.
};

enum class MachineState : std::uint8_t { booting, running, failed };

/// A rented machine as the cloud lists it.
struct ListedMachine {
  std::string id;
  std::string address;  ///< Always empty: `parse_machine_list` does not read it.
  std::string type;
  std::string zone;
  bool spot = false;
  MachineState state = MachineState::booting;
  Seconds age{0};  ///< Time since the machine was rented.
};

/// One page of the list of rented machines.
struct MachineList {
  std::vector<ListedMachine> machines;
  bool more = false;  ///< Whether further pages follow.
};

inline constexpr const char* catalog_path = "/catalog";
inline constexpr const char* rentals_path = "/machines";
inline constexpr const char* release_path = "/machines/release";

/// The path of the list page that starts after the machine id `after`, or of the first page if
/// `after` is empty.
std::string list_path(const std::string& after);

// All parsers throw DecodeError when a message is malformed.

std::vector<MachineType> parse_catalog(const Json& root);
/// The inverse of `parse_catalog`.
Json encode_catalog(const std::vector<MachineType>& types);

/// The body that rents `count` machines. `request` identifies the rental: the cloud rents nothing
/// more when it receives the same `request` again.
std::string encode_rental(const std::string& request, const std::string& type,
                          const std::string& zone, bool spot, int count);
/// The ids of the rented machines, from the response to a rental.
std::vector<std::string> parse_rented(const std::string& body);

/// The body that releases the machines with the given ids.
std::string encode_release(const std::vector<std::string>& machines);

MachineList parse_machine_list(const std::string& body);

}  // namespace poppystile::protocol
