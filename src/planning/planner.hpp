// From the leader's picture to placements and preemptions. Pure: reads the model, changes nothing.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "bookkeeping/model.hpp"
#include "planning/labl.hpp"
#include "protocol/settings.hpp"

namespace poppystile::planning {

struct PlannedPlacement {
  std::string machine;
  std::string job;
};

struct PlannedStop {
  std::string machine;
  std::string job;
  std::uint32_t index = 0;
  std::uint64_t attempt = 0;
};

struct Plan {
  std::vector<PlannedPlacement> placements;
  std::vector<PlannedStop> stops;
};

struct PlanningContext {
  double now_s = 0;
  const std::vector<protocol::TeamSettings>* teams = nullptr;
  LablWeights weights;
  double report_s = 1;
  double now_wall_s = 0;
  const std::vector<protocol::FinishAim>* finish_aims = nullptr;
};

// Seconds after its submission by which a job should be over: its own deadline, else the earliest
// aim for its class, else nothing.
std::optional<double> due_s(const protocol::JobSpec& job,
                            const std::vector<protocol::FinishAim>& aims);

bool may_run_on(const protocol::JobSpec& job, const bookkeeping::Machine& machine);
bool takes_tasks(const bookkeeping::Machine& machine, double now_s);
// Seconds a task of the job is believed to run.
double believed_run_s(const protocol::JobSpec& job);

Plan make_plan(const bookkeeping::Model& model, const PlanningContext& context);

}  // namespace poppystile::planning
