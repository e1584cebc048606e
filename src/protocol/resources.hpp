/// \file
/// Amounts of CPU, GPU and memory, and their representation in messages.
#pragma once

#include <cstdint>
#include <limits>

#include "protocol/json.hpp"

namespace poppystile::protocol {

/// Amounts as integers, in thousandths of a CPU, a GPU and a GB, so that sums have no rounding
/// errors.
struct Resources {
  std::int64_t cpus = 0;
  std::int64_t gpus = 0;
  std::int64_t memory = 0;

  Resources& operator+=(const Resources& other) {
    cpus += other.cpus;
    gpus += other.gpus;
    memory += other.memory;
    return *this;
  }
  Resources& operator-=(const Resources& other) {
    cpus -= other.cpus;
    gpus -= other.gpus;
    memory -= other.memory;
    return *this;
  }

  /// Whether every amount is at most the corresponding one of `capacity`.
  bool fits(const Resources& capacity) const {
    return cpus <= capacity.cpus && gpus <= capacity.gpus && memory <= capacity.memory;
  }
  /// How many times these amounts fit into `capacity`, from 0 to `constants::max_tasks`.
  std::int64_t times_in(const Resources& capacity) const;
};

/// Reads the amounts from a message. Throws DecodeError if one is missing, invalid or above
/// `max_amount`, which is in whole CPUs, GPUs or GB.
Resources parse_resources(const Json& object,
                          double max_amount = std::numeric_limits<double>::infinity());
/// Writes the amounts to the fields of a message.
void encode_resources(const Resources& resources, Json& object);

}  // namespace poppystile::protocol
