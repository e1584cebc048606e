/// \file
/// The lower bound of the job latency from which LABL starts (section 3.3 of the paper).
#pragma once

#include <vector>

#include "planning/labl.hpp"

namespace poppystile::planning {

/// The cost of one local task of the job, averaged over the servers that may run it; 0 when there
/// are none.
double mean_local_cost(const LablJob& job);

/// The paper's l** (problem 2): the least whole multiple of `unit_cost` that, as a latency limit,
/// lets the servers take every task that can only run remotely, and the cost of all tasks together;
/// at most `constants::max_labl_bound_units` times `unit_cost`. `load` is that of each server.
/// Returns 0 when `unit_cost` is not positive.
double labl_lower_bound(const std::vector<LablJob>& jobs, const std::vector<double>& load,
                        const LablWeights& weights, double unit_cost);

}  // namespace poppystile::planning
