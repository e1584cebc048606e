/// \file
/// Rules for which machines may run a job, and a job's expected run time and completion target.
/// Pure functions.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "cluster/cluster_state.hpp"
#include "protocol/settings.hpp"

namespace poppystile::planning {

/// Whether the job's constraints on type, zone and spot machines allow `machine`.
bool may_run_on(const protocol::JobSpec& job, const cluster::Machine& machine);

/// Whether the job's constraints allow a machine of this type, in this zone, that need not be
/// rented yet; `spot` says whether it would be a spot machine.
bool may_run_on(const protocol::JobSpec& job, const std::string& type, const std::string& zone,
                bool spot);

/// Whether new tasks may be placed on `machine` at the steady time `now`: its worker is in contact
/// with this leader, and nothing excludes the machine from new work.
bool is_schedulable(const cluster::Machine& machine, SteadyTime now);

/// Whether the workers of all machines with tasks of the gang receive commands, so that the tasks
/// can be stopped together, in time to save their state.
bool can_preempt_gang(const cluster::Job& gang);

/// Time that a task of the job is assumed to run: its estimate, but at least
/// `constants::min_estimated_run_time`.
Seconds expected_run_time(const protocol::JobSpec& job);

/// Time from a job's submission until it should be finished: the job's own deadline, else the
/// shortest aim for its class, else nothing.
std::optional<Seconds> completion_target(const protocol::JobSpec& job,
                                         const std::vector<protocol::FinishObjective>& aims);

}  // namespace poppystile::planning
