#include "cluster/machine.hpp"

#include <algorithm>

namespace poppystile::cluster {

bool Machine::has_cached(const std::string& image) const {
  return std::any_of(images.begin(), images.end(),
                     [&](const CachedImage& each) { return each.name == image; });
}

void Machine::mark_image_used(const std::string& name, double gb) {
  std::erase_if(images, [&](const CachedImage& each) { return each.name == name; });
  images.push_back({name, gb});
  double total = 0;
  for (const auto& each : images) total += each.gb;
  while (images.size() > 1 && total > cache_gb) {
    total -= images.front().gb;
    images.erase(images.begin());
  }
}

Placement* Machine::find(const std::string& job, std::uint32_t index, std::uint64_t attempt) {
  for (auto& each : placements)
    if (each.index == index && each.attempt == attempt && each.job == job) return &each;
  return nullptr;
}

}  // namespace poppystile::cluster
