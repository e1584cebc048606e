#include "coordination/api/consistent_reader.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "constants.hpp"
#include "storage/records.hpp"

namespace poppystile::coordination {

using storage::final_record_key;
using storage::job_key;

namespace {

// The key of the job's record and the key of its final record.
constexpr std::size_t max_conditions_per_query = 2;

bool contains(const std::vector<std::string>& keys, const std::string& key) {
  return std::find(keys.begin(), keys.end(), key) != keys.end();
}

}  // namespace

ConsistentReader::ConsistentReader(transport::Runtime& runtime, KeyValueClient& key_value_client,
                                   SharedStateCache& shared_state,
                                   const protocol::StateLimits& limits)
    : runtime_(runtime),
      key_value_client_(key_value_client),
      shared_state_(shared_state),
      limits_(limits) {}

Seconds ConsistentReader::response_age() const {
  return runtime_.now() - key_value_client_.answered_request_sent_at();
}

bool ConsistentReader::response_is_fresh() const {
  return response_age() <= constants::max_read_age;
}

void ConsistentReader::confirm_current(const std::string& id, Callback done) {
  pending_queries_.push_back({id, std::move(done)});
  if (pending_queries_.size() == 1)
    runtime_.after(constants::poll_batch_window, [this] { send_pending_queries(); });
}

void ConsistentReader::send_pending_queries() {
  const std::size_t max_batch = limits_.max_conditions() / max_conditions_per_query;
  std::vector<Query> batch;
  for (auto& query : std::exchange(pending_queries_, {})) {
    batch.push_back(std::move(query));
    if (batch.size() == max_batch) send_compare(std::exchange(batch, {}));
  }
  if (!batch.empty()) send_compare(std::move(batch));
}

void ConsistentReader::send_compare(std::vector<Query> queries) {
  protocol::Transaction compare;
  std::vector<Query> unconfirmed;
  for (auto& query : queries) {
    // A final record never changes, so the cache suffices.
    if (shared_state_.final_state(query.id)) {
      query.done(ReadResult::terminal);
      continue;
    }
    const CachedJob* cached = shared_state_.job(query.id);
    query.cached = cached != nullptr;
    if (query.cached) {
      compare.conditions.push_back({job_key(query.id), cached->version});
    } else {
      compare.conditions.push_back({job_key(query.id), 0});
      compare.conditions.push_back({final_record_key(query.id), 0});
    }
    unconfirmed.push_back(std::move(query));
  }
  if (unconfirmed.empty()) return;
  key_value_client_.compare_and_swap(
      compare, RequestPriority::user,
      [this, unconfirmed = std::move(unconfirmed)](const TransactionResult& result) mutable {
        for (auto& query : unconfirmed) finish_query(std::move(query), result);
      });
}

void ConsistentReader::finish_query(Query query, const TransactionResult& result) {
  if (result.status == CallStatus::ok && response_is_fresh()) {
    if (!query.cached) return finish_absent(query.id, query.done);
    spdlog::debug("job read id={} age_s={:.3f}", query.id, response_age().count());
    return query.done(ReadResult::active);
  }
  if (result.status != CallStatus::conflict) return query.done(ReadResult::unavailable);
  const bool changed = contains(result.failed, job_key(query.id)) ||
                       contains(result.failed, final_record_key(query.id));
  if (changed) return read_from_service(query.id, std::move(query.done));
  // A condition of another query in the batch failed, so this query is sent again.
  confirm_current(query.id, std::move(query.done));
}

// The job may have been accepted after the answered request was sent, and a user may know that.
void ConsistentReader::finish_absent(const std::string& id, const Callback& done) {
  if (shared_state_.final_state(id)) return done(ReadResult::terminal);
  if (shared_state_.job(id) != nullptr) return confirm_current(id, done);
  const bool is_absent = response_is_fresh() && !shared_state_.accepted_by_peer(id);
  done(is_absent ? ReadResult::absent : ReadResult::unavailable);
}

// Reads the job's record before its final record, so that a job that ends between the two reads is
// found by the second.
void ConsistentReader::read_from_service(const std::string& id, Callback done) {
  key_value_client_.get(
      job_key(id), RequestPriority::user,
      [this, id, done = std::move(done)](CallStatus status,
                                         const std::optional<protocol::Entry>& job) mutable {
        if (status != CallStatus::ok) return done(ReadResult::unavailable);
        if (!job) return read_final_record(id, std::move(done));
        shared_state_.apply_response(job->key, job->value, job->version);
        if (!response_is_fresh()) return done(ReadResult::unavailable);
        done(shared_state_.job(id) != nullptr ? ReadResult::active : ReadResult::terminal);
      });
}

void ConsistentReader::read_final_record(const std::string& id, Callback done) {
  key_value_client_.get(final_record_key(id), RequestPriority::user,
                        [this, id, done = std::move(done)](
                            CallStatus status, const std::optional<protocol::Entry>& final_record) {
                          if (status != CallStatus::ok) return done(ReadResult::unavailable);
                          if (!final_record) return finish_absent(id, done);
                          shared_state_.apply_response(final_record->key, final_record->value,
                                                       final_record->version);
                          done(ReadResult::terminal);
                        });
}

}  // namespace poppystile::coordination
