/// \file
/// Locality Aware & Bounded Latency task assignment (LABL), after Agosta, Pelosi and Speziale,
/// "On Task Assignment in Data Intensive Scalable Computing", sections 3.3 and 3.4 and figure 1.
///
/// Tasks of one job are alike (same image, same resources), so a job enters as a number of tasks
/// and the paper's sets of tasks become counts. docs/design.md lists what differs from the paper.
#pragma once

#include <cstdint>
#include <vector>

namespace poppystile::planning {

/// Tasks of one job as input of LABL. Both vectors have one element for each server.
struct LablJob {
  std::uint32_t task_count = 0;
  std::vector<double> local_cost;       // cost of one local task; 0: the server may not run the job
  std::vector<std::uint8_t> has_image;  // 1: tasks are local there (the paper's data placement)
};

struct LablServer {
  double load = 0;  // cost of the work that the server has already, in the unit of `local_cost`
};

struct LablWeights {
  double local = 1;                // cost of a local task in units (the paper's w_loc)
  double remote = 3;               // cost of a task that has to fetch its image, in units (w_rem)
  double remote_offset = 1;        // units above the lower bound up to which phase II runs
  bool fetch_caches_image = true;  // false: fetched images are not kept, as in the paper
};

/// One task of `job` is to run on `server`; both are indices into the input.
struct LablAssignment {
  std::uint32_t job = 0;
  std::uint32_t server = 0;
  bool is_remote = false;
};

struct LablPlan {
  std::vector<LablAssignment> assignments;  // in the order in which they were made
  std::vector<double> load;  // by server, with the assignments, less the least initial load
  double lower_bound = 0;    // the paper's l**, the first latency limit
  double latency_limit = 0;  // the latency limit at the end
};

/// Assigns the tasks of `jobs` to `servers`. Leaves out tasks that no server may run, and those
/// that are not assigned within `constants::max_labl_rounds` rounds.
LablPlan plan_labl(std::vector<LablJob> jobs, const std::vector<LablServer>& servers,
                   const LablWeights& weights);

}  // namespace poppystile::planning
