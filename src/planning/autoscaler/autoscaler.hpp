// How many machines of which kind: what to rent and what to give back. Pure.
#pragma once

#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "cluster/cluster_state.hpp"
#include "protocol/cloud_messages.hpp"
#include "protocol/settings.hpp"

namespace poppystile::planning {

// A kind of machine that can be asked for.
struct Offer {
  std::string type;
  std::string zone;
  bool spot = false;
  auto operator<=>(const Offer&) const = default;
};

struct WantedMachines {
  Offer offer;
  int count = 0;
};

struct ScalingPlan {
  std::vector<WantedMachines> rent;
  std::vector<std::string> release;
  std::vector<std::string> drain;     // take nothing more
  std::vector<std::string> uncordon;  // wanted after all
  std::int64_t demand_cpus = 0;       // thousandths: in use, wanted now, and the reserve
};

struct ScalingContext {
  SteadyTime now;
  WallTime wall_now;
  const std::vector<protocol::MachineType>* types = nullptr;
  const std::vector<protocol::TeamSettings>* teams = nullptr;
  std::set<Offer> refused;              // asked lately and not to be had
  std::vector<WantedMachines> pending;  // asked for, not answered yet
  std::int64_t peak_cpus = 0;           // the highest demand of late
  double service_reserve = 0.1;
};

ScalingPlan plan_scaling(const cluster::ClusterState& cluster_state, const ScalingContext& context);

}  // namespace poppystile::planning
