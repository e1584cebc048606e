#include "planning/autoscaler/capacity_supply.hpp"

#include "constants.hpp"

namespace poppystile::planning {

using cluster::ClusterState;
using cluster::Machine;
using protocol::JobKind;
using protocol::JobSpec;
using protocol::MachineType;

namespace {

std::int64_t service_cpus_on(const ClusterState& cluster_state, const Machine& machine) {
  std::int64_t cpus = 0;
  for (const auto& placement : machine.placements)
    if (service_of(cluster_state, placement) != nullptr) cpus += placement.task_resources.cpus;
  return cpus;
}

}  // namespace

void FleetComposition::add_available(const Offer& offer) {
  ++available[offer];
  ++total_available;
}

double FleetComposition::available_share(const Offer& offer) const {
  const auto found = available.find(offer);
  if (found == available.end()) return 0;
  return static_cast<double>(found->second) / static_cast<double>(total_available + 1);
}

double FleetComposition::overdue_share(const Offer& offer) const {
  const auto found = overdue.find(offer);
  if (found == overdue.end()) return 0;
  const auto others = available.find(offer);
  const int total = found->second + (others == available.end() ? 0 : others->second);
  return static_cast<double>(found->second) / total;
}

void CapacitySupply::add_rented_machine(const Offer& offer, const std::vector<MachineType>& types) {
  const MachineType* type = find_machine_type(types, offer.type);
  if (type == nullptr) return;
  bins.push_back({offer, type->size});
  composition.add_available(offer);
}

bool is_boot_overdue(const Machine& machine, WallTime now) {
  return machine.incarnation == 0 && machine.boot_time > Seconds{0} &&
         now - machine.rented_at > constants::boot_latest_share * machine.boot_time;
}

bool counts_as_capacity(const Machine& machine, WallTime now) {
  return !machine.releasing && !machine.preemption_noticed && !machine.quarantined &&
         !machine.lease_expired && !machine.is_unresponsive && !is_boot_overdue(machine, now);
}

const JobSpec* service_of(const ClusterState& cluster_state, const cluster::Placement& placement) {
  if (placement.phase == cluster::PlacementPhase::exited) return nullptr;
  const auto job = cluster_state.jobs.find(placement.job);
  if (job == cluster_state.jobs.end() || job->second.spec().kind != JobKind::service)
    return nullptr;
  return &job->second.spec();
}

CapacitySupply measure_supply(const ClusterState& cluster_state, const ScalingContext& context) {
  CapacitySupply supply;
  for (const auto& [id, machine] : cluster_state.machines) {
    const Offer offer{machine.type, machine.zone, machine.spot};
    if (is_boot_overdue(machine, context.wall_now)) ++supply.composition.overdue[offer];
    if (machine.draining || !counts_as_capacity(machine, context.wall_now)) continue;
    supply.bins.push_back(
        {offer, machine.free_resources(), &machine, service_cpus_on(cluster_state, machine)});
    supply.composition.add_available(offer);
  }
  for (const auto& order : context.pending)
    for (int i = 0; i < order.count; ++i) supply.add_rented_machine(order.offer, *context.types);
  return supply;
}

}  // namespace poppystile::planning
