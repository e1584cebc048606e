/// \file
/// Keeps the jobs of the cluster state in step with the job records of the shared state.
#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include "cluster/cluster_state.hpp"
#include "coordination/api/job_api.hpp"
#include "coordination/leader/job_finalizer.hpp"
#include "coordination/leader/task_stopper.hpp"
#include "coordination/state/shared_state_cache.hpp"

namespace poppystile::coordination {

class JobRegistry {
 public:
  /// `request_plan` is called when a job was added or changed.
  JobRegistry(cluster::ClusterState& cluster_state, const SharedStateCache& shared_state,
              const TaskStopper& stopper, JobFinalizer& finalizer,
              std::function<void()> request_plan);

  /// Adds a job, all of whose tasks wait.
  cluster::Job& add(const std::string& id, const CachedJob& known);

  /// Takes over what the shared state says about a job now. Removes it when its record is gone.
  void on_changed(const std::string& id);

  /// Stops the tasks of a cancelled job, and queues the final record of one that is complete or has
  /// left every machine.
  void apply_final_state(const std::string& id, const cluster::Job& job);

  /// Counts of a job's tasks; zeros if the job is not known.
  TaskCounts counts(const std::string& id) const;

  /// Ids of at most `max` jobs, in no particular order.
  std::vector<std::string> ids(std::size_t max) const;

 private:
  cluster::ClusterState& cluster_state_;
  const SharedStateCache& shared_state_;
  const TaskStopper& stopper_;
  JobFinalizer& finalizer_;
  std::function<void()> request_plan_;
};

}  // namespace poppystile::coordination
