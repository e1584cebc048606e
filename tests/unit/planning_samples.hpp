/// \file
/// Sample jobs and machines for tests of the planner.
#pragma once

#include <string>
#include <utility>

#include "cluster/cluster_state.hpp"
#include "simulation/test_clock.hpp"

namespace poppystile::planning {

using cluster::ClusterState;
using cluster::Job;
using cluster::Machine;
using cluster::TaskPhase;
using protocol::JobKind;
using protocol::JobSpec;
using protocol::Priority;

/// A job whose tasks use 2 CPUs and 1 GB each, with a 1 GB image and an estimated run time of 20 s.
inline JobSpec spec(const std::string& id, JobKind kind, std::uint32_t tasks, Priority priority) {
  JobSpec job;
  job.id = id;
  job.job_class = "c";
  job.team = "ops";
  job.kind = kind;
  job.tasks = tasks;
  job.priority = priority;
  job.task_resources = {2000, 0, 1000};
  job.image = "img";
  job.image_gb = 1;
  job.estimated_run_time = Seconds{20};
  job.spot = true;
  return job;
}

/// Adds the job with all its tasks waiting.
inline void add(ClusterState& cluster_state, const JobSpec& job) {
  Job added_job;
  added_job.record.spec = job;
  added_job.phases.assign(job.tasks, TaskPhase::waiting);
  cluster_state.jobs.emplace(job.id, std::move(added_job));
}

/// Adds a machine that accepts tasks, with `cpus` CPUs and 64 GB. The first letter of its id names
/// its zone.
inline Machine& add(ClusterState& cluster_state, const std::string& id, std::int64_t cpus) {
  Machine machine;
  machine.id = id;
  machine.type = "t";
  machine.zone = id.substr(0, 1);
  machine.size = {cpus * 1000, 0, 64000};
  machine.has_reported = machine.has_acknowledged_token = true;
  machine.incarnation = 1;
  machine.cache_gb = 10;
  return cluster_state.machines.emplace(id, std::move(machine)).first->second;
}

}  // namespace poppystile::planning
