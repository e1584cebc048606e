#include "coordination/leader/failover_recovery.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <optional>
#include <utility>

#include "constants.hpp"
#include "coordination/election/lease_time.hpp"
#include "coordination/leader/gang_tracker.hpp"

namespace poppystile::coordination {

using cluster::Job;
using cluster::Machine;
using storage::ReplayedMachine;
using storage::ReplayedState;

FailoverRecovery::FailoverRecovery(transport::Runtime& runtime,
                                   const SharedStateCache& shared_state,
                                   const LeaderElection& election, JournalWriter& journal,
                                   FleetManager& fleet, cluster::ClusterState& cluster_state,
                                   JobRegistry& jobs, const protocol::Settings& settings,
                                   std::function<void()> on_recovered)
    : runtime_(runtime),
      shared_state_(shared_state),
      election_(election),
      journal_(journal),
      fleet_(fleet),
      cluster_state_(cluster_state),
      jobs_(jobs),
      settings_(settings),
      on_recovered_(std::move(on_recovered)) {}

void FailoverRecovery::begin() {
  end_term();
  wait_for_shared_state();
}

void FailoverRecovery::end_term() {
  term_.end();
  is_waiting_for_lease_expiry_ = false;
}

// The job records come from the watch of the shared state, which must have reached the revision of
// this controller's election.
void FailoverRecovery::wait_for_shared_state() {
  if (shared_state_.revision() >= election_.fence().version) return load_journal();
  runtime_.after(constants::leader_tick, term_.wrap([this] { wait_for_shared_state(); }));
}

void FailoverRecovery::load_journal() {
  journal_.load(term_.wrap([this](const std::optional<ReplayedState>& replayed) {
    if (!replayed) return wait_for_lease_expiry();
    rebuild_cluster_state(*replayed);
  }));
}

// A former leader responds to a worker only if the lease that the response extends expires within
// `cancel_timeout` of the time up to which that leader has every cancellation, or of its own
// election while it had not replayed the journal (Controller::response_deadline). This time is not
// later than this controller's election: a former leader whose shared state or peer statuses
// include the election steps down. Responses that this controller has sent since then extend leases
// by `worker_lease`, which is shorter than `cancel_timeout`. From now on no controller extends a
// worker lease, since this controller rejects heartbeats and the other controllers redirect them.
// So no task runs after the wait.
void FailoverRecovery::wait_for_lease_expiry() {
  spdlog::error("journal unreadable, waiting for all worker leases to expire seconds={}",
                settings_.cancel_timeout.count());
  is_waiting_for_lease_expiry_ = true;
  runtime_.after(with_clock_drift(settings_.cancel_timeout),
                 term_.wrap([this] { reset_journal(); }));
}

void FailoverRecovery::reset_journal() {
  journal_.reset(term_.wrap([this] {
    is_waiting_for_lease_expiry_ = false;
    rebuild_cluster_state({});
  }));
}

void FailoverRecovery::rebuild_cluster_state(const ReplayedState& replayed) {
  const SteadyTime now = runtime_.now();
  cluster_state_ = {};
  fleet_.begin_term(cluster_state_, replayed.rentals);
  restore_jobs(replayed);
  for (const auto& [id, recorded] : replayed.machines) restore_machine(id, recorded, replayed, now);
  for (auto& [id, job] : cluster_state_.jobs)
    if (job.is_gang()) GangTracker::on_restored(job, now);
  on_recovered_();
}

void FailoverRecovery::restore_jobs(const ReplayedState& replayed) {
  for (const auto& [id, recorded] : shared_state_.jobs()) {
    Job& job = jobs_.add(id, recorded);
    const auto replayed_job = replayed.jobs.find(id);
    if (replayed_job == replayed.jobs.end()) continue;
    const auto& finished = replayed_job->second.finished;
    for (std::uint32_t i = 0; i < std::min(finished.size(), job.phases.size()); ++i)
      if (finished[i]) job.finish(i);
    if (job.is_gang() && job.finished > 0) job.finish_all();
  }
}

void FailoverRecovery::restore_machine(const std::string& id, const ReplayedMachine& recorded,
                                       const ReplayedState& replayed, SteadyTime now) {
  Machine restored;
  restored.id = id;
  restored.type = recorded.type;
  restored.zone = recorded.zone;
  restored.spot = recorded.spot;
  restored.incarnation = recorded.incarnation;
  restored.rented_at = recorded.rented_at;
  restored.images = recorded.images;
  restored.last_response_at = restored.last_heartbeat_at = now;
  fleet_.apply_machine_type(restored);
  Machine& machine = cluster_state_.machines.emplace(id, std::move(restored)).first->second;
  for (const auto& [job_id, index] : recorded.tasks) {
    Job* job = cluster_state_.job(job_id);
    if (job == nullptr || index >= job->phases.size()) continue;  // The job has ended.
    if (job->is_task_finished(index)) continue;                   // The gang has completed.
    const auto& task = replayed.jobs.at(job_id).placed.at(index);
    cluster_state_.restore(machine, *job, index, task.attempt, now);
  }
}

}  // namespace poppystile::coordination
