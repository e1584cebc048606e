#include "coordination/api/job_api.hpp"

#include <spdlog/spdlog.h>

#include <utility>

#include "constants.hpp"
#include "protocol/user_responses.hpp"

namespace poppystile::coordination {

using protocol::JobSpec;
using protocol::JobState;
using storage::final_record_key;
using storage::job_key;
using transport::HttpResponse;
using transport::Respond;

namespace {

HttpResponse unavailable(const char* reason = "state service not reached, come back") {
  return {503, protocol::encode_error(reason), constants::retry_after};
}

HttpResponse not_found() { return {404, protocol::encode_error("no such job")}; }

HttpResponse rejected(RejectionReason reason) {
  return {422, protocol::encode_error(to_string(reason))};
}

}  // namespace

JobApi::JobApi(transport::Runtime& runtime, KeyValueClient& key_value_client,
               SharedStateCache& shared_state, JobStateAnnouncer& announcer,
               const protocol::Settings& settings,
               std::function<TaskCounts(const std::string&)> counts)
    : runtime_(runtime),
      key_value_client_(key_value_client),
      shared_state_(shared_state),
      announcer_(announcer),
      settings_(settings),
      counts_(std::move(counts)),
      admission_check_(settings),
      reader_(runtime, key_value_client, shared_state, settings.state_limits) {}

bool JobApi::must_reject_requests() const {
  return !shared_state_.loaded() || key_value_client_.is_overloaded();
}

bool JobApi::within_retry_window(SteadyTime received_at) const {
  return runtime_.now() - received_at < constants::submission_retry_window;
}

bool JobApi::is_cancelled_or_final(const std::string& id) const {
  if (shared_state_.final_state(id)) return true;
  const CachedJob* cached = shared_state_.job(id);
  return cached != nullptr && cached->record.cancelled;
}

JobState JobApi::state_of(const std::string& id) const {
  if (const auto final_state = shared_state_.final_state(id)) return *final_state;
  const CachedJob* cached = shared_state_.job(id);
  if (cached != nullptr && cached->record.cancelled) return JobState::cancelled;
  return counts_(id).running > 0 ? JobState::running : JobState::queued;
}

// --- responses ---

void JobApi::respond_state(const std::string& id, const Respond& respond) const {
  announcer_.announce(id, [this, id, respond] {
    respond({200, protocol::encode_submitted(id, state_of(id))});
  });
}

void JobApi::respond_status(const std::string& id, const Respond& respond) const {
  announcer_.announce(id, [this, id, respond] {
    const TaskCounts counts = counts_(id);
    respond({200, protocol::encode_job_status(id, state_of(id), counts.done, counts.running)});
  });
}

ConsistentReader::Callback JobApi::respond_state_if_stored(const std::string& id,
                                                           Respond respond) const {
  return [this, id, respond = std::move(respond)](ReadResult result) {
    if (result == ReadResult::active || result == ReadResult::terminal)
      return respond_state(id, respond);
    respond(unavailable());
  };
}

// --- show ---

void JobApi::show(const std::string& id, Respond respond) {
  if (!protocol::valid_job_id(id)) return respond(not_found());
  // Cancellations and final states are never withdrawn, so the cache suffices.
  if (is_cancelled_or_final(id)) return respond_status(id, respond);
  if (must_reject_requests()) return respond(unavailable());
  reader_.confirm_current(id, [this, id, respond = std::move(respond)](ReadResult result) {
    if (result == ReadResult::unavailable) return respond(unavailable());
    if (result == ReadResult::absent) return respond(not_found());
    respond_status(id, respond);
  });
}

// --- submit ---

void JobApi::submit(const std::string& body, Respond respond) {
  JobSpec job;
  try {
    job = protocol::parse_submission(protocol::parse_object(body));
  } catch (const protocol::DecodeError& error) {
    return respond({400, protocol::encode_error(error.what())});
  }
  if (must_reject_requests()) return respond(unavailable());
  if (shared_state_.final_state(job.id)) return respond_state(job.id, respond);
  if (shared_state_.job(job.id) != nullptr)
    return reader_.confirm_current(job.id, respond_state_if_stored(job.id, std::move(respond)));
  if (shared_state_.types().empty()) return respond(unavailable("machine types not known yet"));
  auto admitted = admission_check_.check(std::move(job), shared_state_.types());
  if (!admitted) return respond(rejected(admitted.error()));
  store_job({*std::move(admitted), runtime_.now(), std::move(respond)});
}

void JobApi::store_job(Submission submission) {
  const std::string& id = submission.job.spec.id;
  protocol::Json record =
      storage::encode(storage::JobRecord{submission.job.spec, runtime_.wall_now(), false});
  std::string text = record.dump();
  if (text.size() > settings_.state_limits.max_value_bytes())
    return submission.respond(rejected(RejectionReason::record_too_large));
  protocol::Transaction transaction;
  transaction.conditions = {{job_key(id), 0}, {final_record_key(id), 0}};
  transaction.changes = {{job_key(id), std::move(text), 0}};
  key_value_client_.compare_and_swap(
      transaction, RequestPriority::user,
      [this, submission = std::move(submission), record = std::move(record)](
          const TransactionResult& result) { finish_submission(submission, record, result); });
}

void JobApi::finish_submission(const Submission& submission, const protocol::Json& record,
                               const TransactionResult& result) {
  const JobSpec& job = submission.job.spec;
  const Respond& respond = submission.respond;
  switch (result.status) {
    case CallStatus::ok:
      shared_state_.apply_response(job_key(job.id), record, result.revision);
      spdlog::info("job accepted id={} class={} team={} tasks={}", job.id, job.job_class, job.team,
                   job.tasks);
      return announcer_.announce(job.id, [this, id = job.id, respond] {
        respond({201, protocol::encode_submitted(id, state_of(id))});
      });
    case CallStatus::conflict:
      return reader_.read_from_service(job.id, respond_state_if_stored(job.id, respond));
    case CallStatus::throttled:
      if (!within_retry_window(submission.received_at)) return respond(unavailable());
      return runtime_.after(constants::throttle_pause,
                            [this, submission] { store_job(submission); });
    case CallStatus::invalid:
      return respond(rejected(RejectionReason::record_too_large));
    default:
      return respond(unavailable());
  }
}

// --- cancel ---

void JobApi::cancel(const std::string& id, const Respond& respond) {
  if (!protocol::valid_job_id(id)) return respond(not_found());
  if (must_reject_requests()) return respond(unavailable());
  mark_cancelled({id, runtime_.now(), respond});
}

void JobApi::mark_cancelled(const Cancellation& cancellation) {
  const std::string& id = cancellation.id;
  if (is_cancelled_or_final(id)) return respond_state(id, cancellation.respond);
  const CachedJob* cached = shared_state_.job(id);
  if (cached == nullptr) return read_and_mark_cancelled(cancellation);
  protocol::Json record =
      storage::encode_cancelled(cached->record, settings_.state_limits.max_value_bytes());
  protocol::Transaction transaction;
  transaction.conditions = {{job_key(id), cached->version}};
  transaction.changes = {{job_key(id), record.dump(), 0}};
  key_value_client_.compare_and_swap(
      transaction, RequestPriority::user,
      [this, cancellation, record = std::move(record)](const TransactionResult& result) {
        finish_cancellation(cancellation, record, result);
      });
}

void JobApi::finish_cancellation(const Cancellation& cancellation, const protocol::Json& record,
                                 const TransactionResult& result) {
  const auto& [id, received_at, respond] = cancellation;
  if (result.status == CallStatus::ok) {
    shared_state_.apply_response(job_key(id), record, result.revision);
    spdlog::info("job cancelled id={}", id);
    return respond_state(id, respond);
  }
  if (result.status == CallStatus::conflict) return read_and_mark_cancelled(cancellation);
  if (result.status != CallStatus::throttled || !within_retry_window(received_at))
    return respond(unavailable());
  runtime_.after(constants::throttle_pause, [this, cancellation] { mark_cancelled(cancellation); });
}

void JobApi::read_and_mark_cancelled(const Cancellation& cancellation) {
  reader_.read_from_service(cancellation.id, [this, cancellation](ReadResult result) {
    if (result == ReadResult::absent) return cancellation.respond(not_found());
    if (result == ReadResult::unavailable || !within_retry_window(cancellation.received_at))
      return cancellation.respond(unavailable());
    mark_cancelled(cancellation);
  });
}

}  // namespace poppystile::coordination
