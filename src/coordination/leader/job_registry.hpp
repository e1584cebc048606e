/// \file
/// Keeps the jobs of the cluster state consistent with the job records of the shared state.
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
  /// `request_plan` is called whenever a job was added or changed.
  JobRegistry(cluster::ClusterState& cluster_state, const SharedStateCache& shared_state,
              const TaskStopper& stopper, JobFinalizer& finalizer,
              std::function<void()> request_plan);

  /// Adds a job with all its tasks waiting; replaces a job that has the same id.
  cluster::Job& add(const std::string& id, const CachedJob& cached);

  /// Applies the present record of a job in the shared state. Removes the job if it has none.
  void on_changed(const std::string& id);

  /// Stops the tasks of a cancelled job, and queues the final record of a job that has completed,
  /// or that was cancelled and has no placement left.
  void apply_final_state(const std::string& id, const cluster::Job& job);

  /// Numbers of the job's finished and running tasks; zeros if the cluster state has no such job.
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
