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

/// The newest gangs of a class, by which room is kept ready for the next.
struct RecentGang {
  JobSpec largest;
  WallTime last_submitted_at;
};

/// What one team's tasks may be using.
struct TeamUsage {
  Resources used;
};

/// A placement belongs to its machine; its job refers to the machine by pointer, so a machine may
/// only be removed once all its placements are.
struct ClusterState {
  std::unordered_map<std::string, Job> jobs;
  std::map<std::string, Machine> machines;
  std::map<std::string, TeamUsage> teams;
  std::map<std::string, RecentGang> recent_gangs;  // by class

  /// Null when the job is not known, or over.
  Job* job(const std::string& id);

  /// Remembers a gang's submission in `recent_gangs`.
  void record_recent_gang(const JobRecord& record);

  /// Places the job's next waiting task on the machine. One must be waiting.
  Placement& place(Machine& machine, Job& job, std::uint64_t attempt, SteadyTime now);

  /// Adds a placement that is taken to exist already, such as one read from the journal.
  Placement& restore(Machine& machine, Job& job, std::uint32_t index, std::uint64_t attempt,
                     SteadyTime now);

  /// Marks the placement as exited, so that it no longer takes room. Does nothing the second time.
  void release_resources(Machine& machine, Placement& placement);
};

}  // namespace poppystile::cluster
