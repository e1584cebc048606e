/// \file
/// Handles users' requests. Every controller, leader or not, can serve them, because the state
/// service confirms what the responses contain.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "coordination/api/admission_check.hpp"
#include "coordination/api/consistent_reader.hpp"
#include "coordination/peers/job_state_announcer.hpp"
#include "coordination/state/key_value_client.hpp"
#include "coordination/state/shared_state_cache.hpp"
#include "protocol/settings.hpp"
#include "transport/event_loop.hpp"
#include "transport/http.hpp"

namespace poppystile::coordination {

/// Numbers of a job's finished and running tasks, for display only.
struct TaskCounts {
  std::uint64_t done = 0;
  std::uint64_t running = 0;
};

/// Handles submissions, status polls and cancellations.
///
/// Each call responds exactly once. Except for the task counts, and whether a job is queued or
/// running, a response contains only what the state service has confirmed, and no other controller
/// responds with an older state afterwards (`JobStateAnnouncer`). The response is 503 with
/// Retry-After while the state service is not reachable, too many calls to it are queued, or it
/// throttles a change for longer than `constants::submission_retry_window`. A submission or
/// cancellation with a 503 may have been stored; users can safely repeat it.
class JobApi {
 public:
  /// All references must outlive this object. `counts` returns the task counts of the job with the
  /// given id.
  JobApi(transport::Runtime& runtime, KeyValueClient& key_value_client,
         SharedStateCache& shared_state, JobStateAnnouncer& announcer,
         const protocol::Settings& settings, std::function<TaskCounts(const std::string&)> counts);

  /// Stores a new job (201), or responds with the state of a job that is stored already (200).
  /// Responds 400 if the body is malformed, and 422 if the job can never run or its record is too
  /// large to be stored. Responds 503 while the machine types are not known.
  void submit(const std::string& body, transport::Respond respond);

  /// Responds with the job's state and task counts (200), or 404 if there is no such job.
  void show(const std::string& id, transport::Respond respond);

  /// Marks the job as cancelled, unless it has its final state, and responds with its state (200),
  /// or 404 if there is no such job.
  void cancel(const std::string& id, const transport::Respond& respond);

 private:
  /// An admitted job that is being written to the state service.
  struct Submission {
    AdmittedJob job;
    SteadyTime received_at;
    transport::Respond respond;
  };
  /// A cancellation that is being written to the state service.
  struct Cancellation {
    std::string id;
    SteadyTime received_at;
    transport::Respond respond;
  };

  void store_job(Submission submission);
  void finish_submission(const Submission& submission, const protocol::Json& record,
                         const TransactionResult& result);
  void mark_cancelled(const Cancellation& cancellation);
  void finish_cancellation(const Cancellation& cancellation, const protocol::Json& record,
                           const TransactionResult& result);
  /// Reads the job from the state service and, if it exists, marks it as cancelled.
  void read_and_mark_cancelled(const Cancellation& cancellation);

  void respond_status(const std::string& id, const transport::Respond& respond) const;
  void respond_state(const std::string& id, const transport::Respond& respond) const;
  /// Returns a callback that responds with the job's state if the read confirms that the job is
  /// stored, and with 503 otherwise.
  ConsistentReader::Callback respond_state_if_stored(const std::string& id,
                                                     transport::Respond respond) const;
  protocol::JobState state_of(const std::string& id) const;
  bool is_cancelled_or_final(const std::string& id) const;
  bool must_reject_requests() const;
  bool within_retry_window(SteadyTime received_at) const;

  transport::Runtime& runtime_;
  KeyValueClient& key_value_client_;
  SharedStateCache& shared_state_;
  JobStateAnnouncer& announcer_;
  const protocol::Settings& settings_;
  std::function<TaskCounts(const std::string&)> counts_;
  AdmissionCheck admission_check_;
  ConsistentReader reader_;
};

}  // namespace poppystile::coordination
