#include "coordination/leader/job_finalizer.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "constants.hpp"

namespace poppystile::coordination {

using cluster::Job;
using protocol::JobState;

namespace {

// One change creates the final record, the other deletes the job record.
constexpr std::size_t changes_per_job = 2;

}  // namespace

void JobFinalizer::reset() {
  term_.end();
  write_in_flight_ = false;
  queue_.clear();
}

void JobFinalizer::enqueue_if_final(const std::string& id, const Job& job) {
  if (job.record.cancelled ? job.placements.empty() : job.all_finished()) queue_.insert(id);
}

void JobFinalizer::pump() {
  const SteadyTime now = runtime_.now();
  if (write_in_flight_ || now < next_write_at_) return;
  next_write_at_ = now + constants::finalize_interval;
  sweep_if_due(now);
  protocol::Transaction transaction;
  const std::vector<std::string> jobs = fill_transaction(transaction);
  if (jobs.empty()) return;
  write_in_flight_ = true;
  key_value_client_.compare_and_swap(
      transaction, RequestPriority::finalize,
      term_.wrap([this, jobs](const TransactionResult& result) { on_write_result(jobs, result); }));
}

// Queues jobs whose final record could not be written because their job record had changed.
void JobFinalizer::sweep_if_due(SteadyTime now) {
  if (now - last_sweep_at_ <= constants::finalize_sweep_interval) return;
  last_sweep_at_ = now;
  for (const auto& [id, job] : cluster_state_.jobs) enqueue_if_final(id, job);
}

std::vector<std::string> JobFinalizer::fill_transaction(protocol::Transaction& transaction) {
  std::vector<std::string> jobs;
  transaction.conditions.push_back(election_.fence());
  while (!queue_.empty() &&
         transaction.changes.size() + changes_per_job <= settings_.state_limits.max_changes()) {
    const std::string id = queue_.extract(queue_.begin()).value();
    const Job* job = cluster_state_.job(id);
    if (job == nullptr) continue;
    transaction.conditions.push_back({storage::final_record_key(id), 0});
    transaction.conditions.push_back({storage::job_key(id), job->version});
    transaction.changes.push_back(
        {storage::final_record_key(id), storage::encode_final_state(final_state(*job)).dump(), 0});
    transaction.changes.push_back({storage::job_key(id), std::nullopt, 0});
    jobs.push_back(id);
  }
  return jobs;
}

JobState JobFinalizer::final_state(const Job& job) {
  return job.record.cancelled ? JobState::cancelled : JobState::done;
}

void JobFinalizer::on_write_result(const std::vector<std::string>& jobs,
                                   const TransactionResult& result) {
  write_in_flight_ = false;
  if (result.status != CallStatus::ok) {
    if (!election_.step_down_if_deposed(result)) retry_later(jobs, result);
    return;
  }
  for (const auto& id : jobs) {
    const Job* job = cluster_state_.job(id);
    if (job == nullptr) continue;
    const JobState state = final_state(*job);
    spdlog::info("job ended id={} state={}", id, protocol::to_string(state));
    shared_state_.apply_response(storage::final_record_key(id), storage::encode_final_state(state),
                                 result.revision);
    shared_state_.apply_response(storage::job_key(id), std::nullopt, result.revision);
  }
}

// Queues the jobs again after a failed transaction, except those whose record has changed: their
// final record can be written only after the watch has delivered the new version, so the next sweep
// queues them.
void JobFinalizer::retry_later(const std::vector<std::string>& jobs,
                               const TransactionResult& result) {
  next_write_at_ = runtime_.now() + constants::state_retry_pause;
  // The same transaction would be refused again, so the jobs wait for the next sweep.
  if (result.status == CallStatus::invalid) return;
  for (const auto& id : jobs) {
    const Job* job = cluster_state_.job(id);
    const bool has_changed = std::find(result.failed.begin(), result.failed.end(),
                                       storage::job_key(id)) != result.failed.end();
    if (job != nullptr && !has_changed) enqueue_if_final(id, *job);
  }
}

}  // namespace poppystile::coordination
