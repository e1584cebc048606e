/// \file
/// Which machine may run which job, and what the planner assumes about a job's run time and the
/// time by which it should be finished. Pure functions.
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

/// Whether all machines with tasks of the gang take commands, so that its tasks can be told to
/// stop together, in time to save their state.
bool can_preempt_gang(const cluster::Job& gang);

/// Time that a task of the job is assumed to run; never zero.
Seconds expected_run_time(const protocol::JobSpec& job);

/// Time after its submission by which a job should be finished: its own deadline, else the
/// earliest aim for its class, else nothing.
std::optional<Seconds> completion_target(const protocol::JobSpec& job,
                                         const std::vector<protocol::FinishAim>& aims);

}  // namespace poppystile::planning
