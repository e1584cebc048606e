/// \file
/// The leader's state in memory: jobs, machines and the placements that connect them.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

#include "clock.hpp"
#include "cluster/job.hpp"
#include "cluster/machine.hpp"
#include "cluster/placement.hpp"
#include "protocol/submission.hpp"
#include "storage/records.hpp"

namespace poppystile::cluster {

/// Recent gangs of a job class, from which the capacity kept ready for the next gang is computed.
struct RecentGang {
  JobSpec largest;  // The newest of the gangs with the most tasks.
  WallTime last_submitted_at;
};

/// Sum of the resources of a team's placements that have not exited.
struct TeamUsage {
  Resources used;
};

/// All jobs that are not final, all machines, and the usage of each team. A machine owns its
/// placements, and `Job::placements` points to the machine, so a machine may be erased only after
/// all its placements have been.
struct ClusterState {
  std::unordered_map<std::string, Job> jobs;
  std::map<std::string, Machine> machines;
  std::map<std::string, TeamUsage> teams;
  std::map<std::string, RecentGang> recent_gangs;  // By job class.

  /// Null when the job is unknown or final.
  Job* job(const std::string& id);

  /// Updates `recent_gangs` with the submission of a gang.
  void record_recent_gang(const JobRecord& record);

  /// Places the job's next waiting task on the machine. At least one task must be waiting. The
  /// reference is valid until the machine's placements change.
  Placement& place(Machine& machine, Job& job, std::uint64_t attempt, SteadyTime now);

  /// Adds the placement of the given task, for example one read from the journal. The task must
  /// have no other placement. The reference is valid until the machine's placements change.
  Placement& restore(Machine& machine, Job& job, std::uint32_t index, std::uint64_t attempt,
                     SteadyTime now);

  /// Marks the placement as exited and subtracts its resources from the usage of its machine and
  /// team. Has no effect on a placement that has exited already. The job's task keeps its phase.
  void release_resources(Machine& machine, Placement& placement);
};

}  // namespace poppystile::cluster
