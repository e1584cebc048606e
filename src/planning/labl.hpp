// Locality Aware & Bounded Latency task assignment (LABL), after Agosta, Pelosi and Speziale,
// "On Task Assignment in Data Intensive Scalable Computing", sections 3.3 and 3.4 and figure 1.
//
// Tasks of one job are alike here (same image, same needs), so a job enters as a count; the
// paper's sets of tasks become groups. See docs/design.md for what differs.
#pragma once

#include <cstdint>
#include <vector>

namespace poppystile::planning {

struct LablJob {
  std::uint32_t count = 0;
  std::vector<double> unit;          // per server: cost of one local task; 0: not allowed there
  std::vector<std::uint8_t> holder;  // per server: 1 when the image is there
};

struct LablServer {
  double load = 0;  // present work, in the same measure as the units
};

struct LablWeights {
  double local = 1;
  double remote = 3;
  double offset = 1;  // units by which the bound may rise while remote placement goes on
  bool fetch_makes_holder = true;  // off only to follow the paper's model to the letter
};

struct LablAssignment {
  std::uint32_t job = 0;
  std::uint32_t server = 0;
  bool remote = false;
};

struct LablPlan {
  std::vector<LablAssignment> assignments;  // in the order in which they were made
  std::vector<double> load;                 // per server, afterwards
  double start_bound = 0;
  double bound = 0;
};

LablPlan plan_labl(std::vector<LablJob> jobs, const std::vector<LablServer>& servers,
                   const LablWeights& weights);

// The least multiple of the batch's unit that is a lower bound (section 3.3, problem 2).
double lower_bound(const std::vector<LablJob>& jobs, const std::vector<double>& load,
                   const LablWeights& weights, double unit);

}  // namespace poppystile::planning
