/// \file
/// Amounts of CPU, GPU and memory, and how messages carry them.
#pragma once

#include <cstdint>
#include <limits>

#include "protocol/json.hpp"

namespace poppystile::protocol {

/// Amounts in whole thousandths of a CPU, a GPU and a GB, so that sums never drift.
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

  /// Whether every amount is at most that of `room`.
  bool fits(const Resources& room) const {
    return cpus <= room.cpus && gpus <= room.gpus && memory <= room.memory;
  }
  /// How many times this fits into `room`, at most `constants::max_tasks`.
  std::int64_t times_in(const Resources& room) const;
};

/// Reads the amounts from a message; throws DecodeError, also for more than `max_amount` of any, in
/// CPUs, GPUs or GB.
Resources parse_resources(const Json& object,
                          double max_amount = std::numeric_limits<double>::infinity());
/// Adds the amounts to a message.
void encode_resources(const Resources& resources, Json& object);

}  // namespace poppystile::protocol
