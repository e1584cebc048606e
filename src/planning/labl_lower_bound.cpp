#include "planning/labl_lower_bound.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <limits>

#include "constants.hpp"

namespace poppystile::planning {

namespace {

/// Values of one job that the search for the bound uses repeatedly.
struct JobDemand {
  double task_count = 0;
  double local_cost = 0;
  double least_local_load = 0;  // load of the least loaded server that has the image
};

/// An amount of work: the jobs' demand under a latency limit, or the servers' capacity within it.
struct WorkAmount {
  double remote_tasks = 0;
  double cost = 0;
};

/// The load of the least loaded server that may run the job and has its image; more than any limit
/// when there is none.
double least_local_load(const LablJob& job, const std::vector<double>& load) {
  double min_load = std::numeric_limits<double>::max();
  for (std::size_t server = 0; server < load.size(); ++server)
    if (job.has_image[server] && job.local_cost[server] > 0)
      min_load = std::min(min_load, load[server]);
  return min_load;
}

/// The number of tasks that can only run remotely under `limit` (the paper's T_rem), and the least
/// cost of all tasks (the paper's a[l]).
WorkAmount demand_within(double limit, const std::vector<JobDemand>& jobs,
                         const LablWeights& weights) {
  WorkAmount demand;
  for (const auto& job : jobs) {
    if (job.local_cost <= 0) continue;
    const bool is_local = job.least_local_load < limit;
    if (!is_local) demand.remote_tasks += job.task_count;
    demand.cost += job.task_count * job.local_cost * (is_local ? weights.local : weights.remote);
  }
  return demand;
}

/// The number of remote tasks that the servers can take within `limit` (the paper's S_sup: servers
/// that can take at least one), and the cost that all servers together can take within it.
WorkAmount capacity_within(double limit, const std::vector<double>& load, double remote_cost) {
  WorkAmount capacity;
  for (double server_value : load) {
    capacity.cost += std::max(0.0, limit - server_value);
    if (limit - server_value >= remote_cost)
      capacity.remote_tasks +=
          std::floor((limit - server_value) / remote_cost + constants::labl_rounding_slack);
  }
  return capacity;
}

}  // namespace

double mean_local_cost(const LablJob& job) {
  double sum = 0;
  int servers = 0;
  for (double server_value : job.local_cost) {
    if (server_value <= 0) continue;
    sum += server_value;
    ++servers;
  }
  return servers == 0 ? 0 : sum / servers;
}

double labl_lower_bound(const std::vector<LablJob>& jobs, const std::vector<double>& load,
                        const LablWeights& weights, double unit_cost) {
  if (unit_cost <= 0) return 0;
  std::vector<JobDemand> demands;
  demands.reserve(jobs.size());
  for (const auto& job : jobs)
    demands.push_back(
        {static_cast<double>(job.task_count), mean_local_cost(job), least_local_load(job, load)});
  const auto is_feasible = [&](std::uint64_t units) {
    const double limit = static_cast<double>(units) * unit_cost;
    const WorkAmount demand = demand_within(limit, demands, weights);
    const WorkAmount capacity = capacity_within(limit, load, weights.remote * unit_cost);
    return capacity.remote_tasks >= demand.remote_tasks &&
           capacity.cost + constants::labl_rounding_slack >= demand.cost;
  };
  std::uint64_t feasible = 1;
  while (!is_feasible(feasible) && feasible < constants::max_labl_bound_units) feasible *= 2;
  std::uint64_t infeasible = 0;
  while (feasible - infeasible > 1) {
    const std::uint64_t middle = infeasible + (feasible - infeasible) / 2;
    (is_feasible(middle) ? feasible : infeasible) = middle;
  }
  return static_cast<double>(feasible) * unit_cost;
}

}  // namespace poppystile::planning
