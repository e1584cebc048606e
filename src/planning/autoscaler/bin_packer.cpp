#include "planning/autoscaler/bin_packer.hpp"

#include <algorithm>
#include <utility>

namespace poppystile::planning {

using protocol::JobKind;
using protocol::JobSpec;

namespace {

// Places as many of `count` tasks as fit into the bin, and returns their number.
std::uint32_t fill(Bin& bin, const JobSpec& spec, std::uint32_t count) {
  const auto fitting = static_cast<std::uint32_t>(
      std::min<std::int64_t>(spec.task_resources.times_in(bin.free_resources), count));
  for (std::uint32_t i = 0; i < fitting; ++i) bin.free_resources -= spec.task_resources;
  return fitting;
}

bool must_choose_zone(const JobSpec& spec) { return spec.one_zone && !spec.zone; }

// For how many tasks a zone must have capacity to be of use to the job: for all tasks of a gang,
// which start together, and for one task of any other job.
std::uint32_t min_useful_tasks(const TaskDemand& demand) {
  return demand.spec.kind == JobKind::gang ? demand.wanted : 1;
}

}  // namespace

BinPacker::BinPacker(CapacitySupply supply, const std::vector<protocol::MachineType>& types,
                     const OfferSelector& selector)
    : supply_(std::move(supply)), types_(types), selector_(selector) {}

void BinPacker::pack(const TaskDemand& demand) {
  JobSpec spec = demand.spec;
  if (must_choose_zone(spec)) spec.zone = choose_zone(demand);
  std::uint32_t count = demand.permitted;
  for (auto& bin : supply_.bins) {
    if (count == 0) return;
    if (may_run_on(spec, bin.offer)) count -= fill(bin, spec, count);
  }
  while (count > 0) {
    const auto offer = selector_.cheapest(spec, demand.prefer_quick_start, supply_.composition);
    if (!offer) {
      if (demand.purpose == DemandPurpose::waiting_tasks) unplaced_.push_back(&demand);
      return;
    }
    supply_.add_rented_machine(*offer, types_);
    const std::uint32_t placed = fill(supply_.bins.back(), spec, count);
    if (placed == 0) return;
    count -= placed;
    ++missing_machines_[*offer];
  }
}

// Returns the zone with free capacity for the most of the job's tasks, among the zones with
// capacity for `min_useful_tasks` or in which machines can be rented; if there are none, among all
// zones. Returns nothing if there is no zone.
std::optional<std::string> BinPacker::choose_zone(const TaskDemand& demand) const {
  std::optional<std::string> best;
  std::int64_t best_capacity = 0;
  bool best_suffices = false;
  for (const auto& [zone, task_capacity] : task_capacity_by_zone(demand.spec)) {
    const bool suffices =
        task_capacity >= min_useful_tasks(demand) || can_rent_in(zone, demand.spec);
    if (best &&
        (best_suffices > suffices || (best_suffices == suffices && best_capacity >= task_capacity)))
      continue;
    best = zone;
    best_capacity = task_capacity;
    best_suffices = suffices;
  }
  if (best_capacity > 0 || demand.spec.kind == JobKind::gang) return best;
  const auto offer =
      selector_.cheapest(demand.spec, demand.prefer_quick_start, supply_.composition);
  return offer ? offer->zone : best;
}

// Returns for how many tasks the bins of each zone have capacity: 0 for zones of the catalog
// without suitable bins.
std::map<std::string, std::int64_t> BinPacker::task_capacity_by_zone(const JobSpec& spec) const {
  std::map<std::string, std::int64_t> task_capacity;
  for (const auto& type : types_)
    for (const auto& zone : type.zones) task_capacity.try_emplace(zone, 0);
  for (const auto& bin : supply_.bins)
    if (may_run_on(spec, bin.offer))
      task_capacity[bin.offer.zone] += spec.task_resources.times_in(bin.free_resources);
  return task_capacity;
}

bool BinPacker::can_rent_in(const std::string& zone, const JobSpec& spec) const {
  JobSpec spec_in_zone = spec;
  spec_in_zone.zone = zone;
  return selector_.cheapest(spec_in_zone, true, supply_.composition).has_value();
}

}  // namespace poppystile::planning
