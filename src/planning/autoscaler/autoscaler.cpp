#include "planning/autoscaler/autoscaler.hpp"

#include <algorithm>
#include <map>

#include "constants.hpp"
#include "planning/autoscaler/bin_packer.hpp"
#include "planning/autoscaler/capacity_demand.hpp"
#include "planning/autoscaler/capacity_supply.hpp"
#include "planning/autoscaler/offer_selector.hpp"
#include "planning/autoscaler/scale_in_policy.hpp"

namespace poppystile::planning {

namespace {

std::vector<RentalOrder> make_rental_orders(const std::map<Offer, int>& missing_machines) {
  std::vector<RentalOrder> orders;
  orders.reserve(missing_machines.size());
  for (const auto& [offer, count] : missing_machines)
    orders.push_back({offer, std::min(count, constants::max_machines_per_rental)});
  std::stable_sort(orders.begin(), orders.end(),
                   [](const RentalOrder& a, const RentalOrder& b) { return a.count > b.count; });
  return orders;
}

}  // namespace

ScalingPlan plan_scaling(const cluster::ClusterState& cluster_state,
                         const ScalingContext& context) {
  const CapacityDemand demand = measure_demand(cluster_state, context);
  const OfferSelector selector(*context.types, context.refused);
  BinPacker packer(measure_supply(cluster_state, context), *context.types, selector);
  for (const auto& tasks : demand.tasks) packer.pack(tasks);

  ScalingPlan plan;
  plan.demand_cpus = demand.cpus;
  plan.uncordon = choose_machines_to_uncordon(
      cluster_state, context.wall_now, !packer.missing_machines().empty(), packer.unplaced());
  if (!plan.uncordon.empty()) return plan;
  plan.rent = make_rental_orders(packer.missing_machines());
  plan.release = find_drained_machines(cluster_state);
  if (plan.rent.empty())
    plan.drain = ScaleInPolicy(cluster_state, context, packer.bins()).choose_machines_to_drain();
  return plan;
}

}  // namespace poppystile::planning
