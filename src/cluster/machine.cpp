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

void Machine::record_start(const Placement& started, SteadyTime now, SteadyTime effective_until) {
  std::erase_if(recent_starts, [&](const SentStart& each) { return each.effective_until < now; });
  recent_starts.push_back({started.job, started.index, started.attempt, effective_until});
}

bool Machine::may_start_again(const std::string& job, std::uint32_t index, std::uint64_t attempt,
                              SteadyTime now) const {
  return std::any_of(recent_starts.begin(), recent_starts.end(), [&](const SentStart& each) {
    return each.effective_until >= now && each.index == index && each.attempt == attempt &&
           each.job == job;
  });
}

}  // namespace poppystile::cluster
