#include "protocol/resources.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

#include "constants.hpp"
#include "protocol/wire_names.hpp"

namespace poppystile::protocol {

namespace {

constexpr double thousandths_per_unit = 1000;

/// Reads an amount in whole CPUs, GPUs or GB; throws DecodeError if it is above `max_amount`.
std::int64_t need_thousandths(const Json& object, const char* name, double max_amount) {
  const double amount = need_amount(object, name);
  if (amount > max_amount) throw DecodeError(name, "out of range");
  return std::llround(amount * thousandths_per_unit);
}

/// Converts thousandths to whole CPUs, GPUs or GB.
double to_whole_units(std::int64_t thousandths) {
  return static_cast<double>(thousandths) / thousandths_per_unit;
}

}  // namespace

std::int64_t Resources::times_in(const Resources& capacity) const {
  std::int64_t times = std::numeric_limits<std::int64_t>::max();
  if (cpus > 0) times = std::min(times, capacity.cpus / cpus);
  if (gpus > 0) times = std::min(times, capacity.gpus / gpus);
  if (memory > 0) times = std::min(times, capacity.memory / memory);
  return std::clamp<std::int64_t>(times, 0, constants::max_tasks);
}

Resources parse_resources(const Json& object, double max_amount) {
  return {need_thousandths(object, wire::cpus, max_amount),
          need_thousandths(object, wire::gpus, max_amount),
          need_thousandths(object, wire::memory_gb, max_amount)};
}

void encode_resources(const Resources& resources, Json& object) {
  object[wire::cpus] = to_whole_units(resources.cpus);
  object[wire::gpus] = to_whole_units(resources.gpus);
  object[wire::memory_gb] = to_whole_units(resources.memory);
}

}  // namespace poppystile::protocol
