/// \file
/// Which machine may run which job, and what the planner believes about a job's run time and due
/// time. Pure functions.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "cluster/cluster_state.hpp"
#include "protocol/settings.hpp"

namespace poppystile::planning {

/// Whether the job's constraints on type, zone and spot machines allow `machine`.
bool may_run_on(const protocol::JobSpec& job, const cluster::Machine& machine);

/// The same for a machine that is not rented yet.
bool may_run_on(const protocol::JobSpec& job, const std::string& type, const std::string& zone,
                bool spot);

/// Whether new tasks may be placed on `machine` at the steady time `now`.
bool is_schedulable(const cluster::Machine& machine, SteadyTime now);

/// Seconds that a task of the job is believed to run; never zero.
Seconds expected_run_time(const protocol::JobSpec& job);

/// Seconds after its submission by which a job should be finished: its own deadline, else the
/// earliest aim for its class, else nothing.
std::optional<Seconds> due_after(const protocol::JobSpec& job,
                                 const std::vector<protocol::FinishAim>& aims);

}  // namespace poppystile::planning
