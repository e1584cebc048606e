#include "coordination/leader/job_registry.hpp"

#include <utility>

namespace poppystile::coordination {

using cluster::Job;
using cluster::TaskPhase;

JobRegistry::JobRegistry(cluster::ClusterState& cluster_state, const SharedStateCache& shared_state,
                         const TaskStopper& stopper, JobFinalizer& finalizer,
                         std::function<void()> request_plan)
    : cluster_state_(cluster_state),
      shared_state_(shared_state),
      stopper_(stopper),
      finalizer_(finalizer),
      request_plan_(std::move(request_plan)) {}

Job& JobRegistry::add(const std::string& id, const CachedJob& cached) {
  Job job;
  job.record = cached.record;
  job.version = cached.version;
  job.phases.assign(cached.record.spec.tasks, TaskPhase::waiting);
  if (job.is_gang()) cluster_state_.record_recent_gang(job.record);
  return cluster_state_.jobs.insert_or_assign(id, std::move(job)).first->second;
}

void JobRegistry::on_changed(const std::string& id) {
  const CachedJob* cached = shared_state_.job(id);
  if (cached == nullptr) {
    finalizer_.remove_from_queue(id);
    cluster_state_.jobs.erase(id);
    return;
  }
  Job* job = cluster_state_.job(id);
  if (job == nullptr) {
    job = &add(id, *cached);
  } else {
    job->record = cached->record;
    job->version = cached->version;
  }
  apply_final_state(id, *job);
  request_plan_();
}

void JobRegistry::apply_final_state(const std::string& id, const Job& job) {
  if (job.record.cancelled) stopper_.stop_job(id);
  finalizer_.enqueue_if_final(id, job);
}

TaskCounts JobRegistry::counts(const std::string& id) const {
  const auto it = cluster_state_.jobs.find(id);
  if (it == cluster_state_.jobs.end()) return {};
  return {it->second.finished, it->second.running};
}

std::vector<std::string> JobRegistry::ids(std::size_t max) const {
  std::vector<std::string> ids;
  for (const auto& [id, job] : cluster_state_.jobs) {
    if (ids.size() == max) break;
    ids.push_back(id);
  }
  return ids;
}

}  // namespace poppystile::coordination
