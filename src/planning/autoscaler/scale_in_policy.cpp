#include "planning/autoscaler/scale_in_policy.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

#include "constants.hpp"
#include "planning/eligibility.hpp"

namespace poppystile::planning {

using cluster::ClusterState;
using cluster::Machine;
using protocol::JobSpec;
using protocol::MachineType;
using protocol::Resources;

std::vector<std::string> choose_machines_to_uncordon(
    const ClusterState& cluster_state, WallTime now, bool machines_are_missing,
    const std::vector<const TaskDemand*>& unplaced) {
  std::vector<std::string> ids;
  for (const auto& [id, entry] : cluster_state.machines) {
    const Machine& machine = entry;
    if (!machine.draining || !counts_as_capacity(machine, now)) continue;
    const auto fits = [&machine](const TaskDemand* demand) {
      return may_run_on(demand->spec, machine) &&
             demand->spec.task_resources.fits(machine.free_resources());
    };
    if (machines_are_missing || std::any_of(unplaced.begin(), unplaced.end(), fits))
      ids.push_back(id);
  }
  return ids;
}

std::vector<std::string> find_drained_machines(const ClusterState& cluster_state) {
  std::vector<std::string> ids;
  for (const auto& [id, machine] : cluster_state.machines)
    if (machine.draining && !machine.releasing && machine.placements.empty()) ids.push_back(id);
  return ids;
}

std::vector<std::string> ScaleInPolicy::choose_machines_to_drain() {
  std::vector<std::string> ids;
  const std::vector<Candidate> candidates = sorted_candidates();
  std::int64_t excess = excess_cpus();
  const auto max_drains = static_cast<std::size_t>(
      std::ceil(static_cast<double>(candidates.size()) * constants::max_drain_share));
  for (const auto& candidate : candidates) {
    if (ids.size() == max_drains) break;
    Bin& bin = *candidate.bin;
    const Machine& machine = *bin.machine;
    if (machine.size.cpus > excess) continue;
    if (bin.service_cpus > 0 && !reserve_capacity_for_replicas(bin)) continue;
    // A machine on which capacity is reserved for another machine's replicas is not drained itself.
    if (bin.free_resources.cpus != machine.free_resources().cpus) continue;
    bin.free_resources = {};
    excess -= machine.size.cpus;
    ids.push_back(machine.id);
  }
  return ids;
}

std::vector<ScaleInPolicy::Candidate> ScaleInPolicy::sorted_candidates() {
  std::vector<Candidate> candidates;
  for (auto& bin : bins_) {
    if (bin.machine == nullptr || !bin.machine->has_reported) continue;
    const bool has_reservations = bin.free_resources.cpus != bin.machine->free_resources().cpus;
    if (!has_reservations) candidates.push_back({&bin, price_per_cpu(*bin.machine)});
  }
  const auto sort_key = [](const Candidate& candidate) {
    return std::make_tuple(candidate.bin->service_cpus, -candidate.price_per_cpu,
                           candidate.bin->machine->used.cpus);
  };
  std::stable_sort(
      candidates.begin(), candidates.end(),
      [&](const Candidate& a, const Candidate& b) { return sort_key(a) < sort_key(b); });
  return candidates;
}

// The fleet's CPUs in thousandths, minus the highest recent demand with its headroom.
std::int64_t ScaleInPolicy::excess_cpus() const {
  std::int64_t supply = 0;
  for (const auto& bin : bins_)
    if (bin.machine != nullptr) supply += bin.machine->size.cpus;
  return supply - static_cast<std::int64_t>(static_cast<double>(context_.peak_cpus) *
                                            constants::demand_headroom_factor);
}

// The price per thousandth of a CPU, or 0 if the machine's type is not in the catalog.
double ScaleInPolicy::price_per_cpu(const Machine& machine) const {
  const MachineType* type = find_machine_type(*context_.types, machine.type);
  if (type == nullptr) return 0;
  return (machine.spot ? type->spot_price : type->price) /
         static_cast<double>(std::max<std::int64_t>(1, type->size.cpus));
}

// Reserves capacity on other machines for all replicas on the source. Returns false, and reserves
// nothing, if the replicas use more than `max_moved_cpu_share` of the source's CPUs or do not all
// fit.
bool ScaleInPolicy::reserve_capacity_for_replicas(Bin& source) {
  const Machine& machine = *source.machine;
  if (static_cast<double>(source.service_cpus) >
      constants::max_moved_cpu_share * static_cast<double>(machine.size.cpus))
    return false;
  std::vector<std::pair<Bin*, Resources>> reserved;
  for (const auto& placement : machine.placements) {
    const JobSpec* service = service_of(cluster_state_, placement);
    if (service == nullptr) continue;
    Bin* target = find_target(*service, source);
    if (target == nullptr) {
      for (auto& [bin, reserved_resources] : reserved) bin->free_resources += reserved_resources;
      return false;
    }
    target->free_resources -= service->task_resources;
    reserved.emplace_back(target, service->task_resources);
  }
  return true;
}

// Returns the first other machine that runs services, caches the service's image, meets its
// constraints and has free capacity for a replica, or null if there is none.
Bin* ScaleInPolicy::find_target(const JobSpec& service, const Bin& source) {
  const auto found = std::find_if(bins_.begin(), bins_.end(), [&](const Bin& bin) {
    return &bin != &source && bin.machine != nullptr && bin.machine->has_reported &&
           bin.machine->has_cached(service.image) && bin.service_cpus > 0 &&
           may_run_on(service, bin.offer) && service.task_resources.fits(bin.free_resources);
  });
  return found == bins_.end() ? nullptr : &*found;
}

}  // namespace poppystile::planning
