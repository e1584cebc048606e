#include "coordination/api/job_api.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <set>
#include <utility>

#include "constants.hpp"

namespace poppystile::coordination {

using protocol::JobKind;
using protocol::JobSpec;
using protocol::JobState;
using storage::final_record_key;
using storage::job_key;
using transport::HttpResponse;
using transport::Respond;

namespace {

HttpResponse later() {
  return {503, protocol::encode_error("state service not reached, come back"),
          constants::retry_after};
}

constexpr const char* record_too_large = "the job's description is too large to be stored";

HttpResponse not_found() { return {404, protocol::encode_error("no such job")}; }

}  // namespace

JobApi::JobApi(transport::Runtime& runtime, KeyValueClient& key_value_client,
               SharedStateCache& shared_state, const protocol::Settings& settings,
               std::function<TaskCounts(const std::string&)> counts)
    : runtime_(runtime),
      key_value_client_(key_value_client),
      shared_state_(shared_state),
      settings_(settings),
      counts_(std::move(counts)) {}

bool JobApi::must_turn_away() const {
  return !shared_state_.loaded() || key_value_client_.is_overloaded();
}

bool JobApi::within_retry_deadline(SteadyTime since) const {
  return runtime_.now() - since < constants::submission_retry_window;
}

JobState JobApi::state_of(const std::string& id) const {
  if (const auto final_state = shared_state_.final_state(id)) return *final_state;
  const CachedJob* known = shared_state_.job(id);
  if (known != nullptr && known->record.cancelled) return JobState::cancelled;
  return counts_(id).running > 0 ? JobState::running : JobState::queued;
}

void JobApi::answer_state(const std::string& id, bool as_poll, const Respond& respond) const {
  const JobState state = state_of(id);
  if (!as_poll) return respond({200, protocol::encode_submitted(id, state)});
  TaskCounts counts = counts_(id);
  respond({200, protocol::encode_job_status(id, state, counts.done, counts.running)});
}

// --- certainty ---

bool JobApi::fresh() const {
  return runtime_.now() - key_value_client_.answered_request_sent_at() <= constants::max_read_age;
}

void JobApi::verify(const std::string& id, Verified answer) {
  gathered_.push_back({id, std::move(answer)});
  if (gathered_.size() == 1)
    runtime_.after(constants::poll_batch_window, [this] { flush_gathered(); });
}

void JobApi::flush_gathered() {
  std::vector<Question> batch;
  // Two conditions at most for each question.
  const std::size_t most = settings_.state_limits.max_conditions() / 2;
  for (auto& each : std::exchange(gathered_, {})) {
    batch.push_back(std::move(each));
    if (batch.size() == most) ask(std::exchange(batch, {}));
  }
  if (!batch.empty()) ask(std::move(batch));
}

void JobApi::ask(std::vector<Question> questions) {
  protocol::Transaction comparison;
  std::vector<Question> open;
  for (auto& each : questions) {
    if (shared_state_.final_state(each.id)) {
      each.answer(ReadResult::over);
      continue;
    }
    const CachedJob* known = shared_state_.job(each.id);
    if (known != nullptr) {
      comparison.conditions.push_back({job_key(each.id), known->version});
    } else {
      comparison.conditions.push_back({job_key(each.id), 0});
      comparison.conditions.push_back({final_record_key(each.id), 0});
    }
    open.push_back(std::move(each));
  }
  if (open.empty()) return;
  std::set<std::string> live;
  for (const auto& each : open)
    if (shared_state_.job(each.id) != nullptr) live.insert(each.id);
  key_value_client_.compare_and_swap(
      comparison, RequestPriority::user,
      [this, open = std::move(open), live = std::move(live)](TransactionResult result) mutable {
        const std::set<std::string> failed(result.failed.begin(), result.failed.end());
        for (auto& each : open) {
          const bool told = result.status == CallStatus::ok && fresh();
          if (told) {
            each.answer(live.contains(each.id) ? ReadResult::live : ReadResult::absent);
          } else if (result.status != CallStatus::conflict) {
            each.answer(ReadResult::unsure);
          } else if (failed.contains(job_key(each.id)) ||
                     failed.contains(final_record_key(each.id))) {
            read_again(each.id, std::move(each.answer));
          } else {
            verify(each.id, std::move(each.answer));
          }
        }
      });
}

// The job first: a job that ends between the two reads is then found among those that are over.
void JobApi::read_again(const std::string& id, Verified answer) {
  key_value_client_.get(
      job_key(id), RequestPriority::user,
      [this, id, answer = std::move(answer)](CallStatus outcome,
                                             std::optional<protocol::Entry> job) mutable {
        if (outcome != CallStatus::ok) return answer(ReadResult::unsure);
        if (job) {
          shared_state_.apply_response(job->key, job->value, job->version);
          if (!fresh()) return answer(ReadResult::unsure);
          return answer(shared_state_.job(id) != nullptr ? ReadResult::live : ReadResult::over);
        }
        key_value_client_.get(final_record_key(id), RequestPriority::user,
                              [this, answer = std::move(answer)](
                                  CallStatus second, std::optional<protocol::Entry> over) {
                                if (second != CallStatus::ok) return answer(ReadResult::unsure);
                                if (!over)
                                  return answer(fresh() ? ReadResult::absent : ReadResult::unsure);
                                shared_state_.apply_response(over->key, over->value, over->version);
                                answer(ReadResult::over);
                              });
      });
}

// --- show ---

void JobApi::show(const std::string& id, Respond respond) {
  if (!protocol::valid_job_id(id)) return respond(not_found());
  const CachedJob* known = shared_state_.job(id);
  if (shared_state_.final_state(id) || (known != nullptr && known->record.cancelled))
    return answer_state(id, true, respond);
  if (must_turn_away()) return respond(later());
  verify(id, [this, id, respond = std::move(respond)](ReadResult certainty) {
    if (certainty == ReadResult::unsure) return respond(later());
    if (certainty == ReadResult::absent) return respond(not_found());
    answer_state(id, true, respond);
  });
}

// --- submit ---

void JobApi::submit(const std::string& body, Respond respond) {
  JobSpec job;
  try {
    job = protocol::parse_submission(protocol::parse_object(body));
  } catch (const protocol::DecodeError& problem) {
    return respond({400, protocol::encode_error(problem.what())});
  }
  if (must_turn_away()) return respond(later());
  if (shared_state_.final_state(job.id) || shared_state_.job(job.id) != nullptr)
    return answer_current(job.id, std::move(respond));
  if (shared_state_.types().empty())
    return respond(
        {503, protocol::encode_error("machine types not known yet"), constants::retry_after});
  if (const std::string why = check_admission(job); !why.empty())
    return respond({422, protocol::encode_error(why)});
  accept(std::move(job), runtime_.now(), std::move(respond));
}

void JobApi::answer_current(const std::string& id, Respond respond) {
  if (shared_state_.final_state(id)) return answer_state(id, false, respond);
  verify(id, [this, id, respond = std::move(respond)](ReadResult certainty) {
    if (certainty == ReadResult::live || certainty == ReadResult::over)
      return answer_state(id, false, respond);
    respond(later());
  });
}

// Why the job can never run; empty when it can. Leaves only known types in its list, which also
// bounds the size of its record.
std::string JobApi::check_admission(JobSpec& job) const {
  const auto team = std::find_if(settings_.teams.begin(), settings_.teams.end(),
                                 [&](const auto& each) { return each.name == job.team; });
  if (team == settings_.teams.end()) return "unknown team";
  const auto named = [&](const std::string& type) {
    return !job.types || std::find(job.types->begin(), job.types->end(), type) != job.types->end();
  };
  std::vector<std::string> allowed;
  bool fits = false;
  for (const auto& type : shared_state_.types()) {
    if (!named(type.name)) continue;
    allowed.push_back(type.name);
    const bool there =
        !job.zone || std::find(type.zones.begin(), type.zones.end(), *job.zone) != type.zones.end();
    fits = fits || (there && job.each.fits(type.size));
  }
  if (!fits) return "a task fits no allowed machine type";
  if (job.types) job.types = std::move(allowed);
  if (job.kind == JobKind::gang && !settings_.gang_times) return "gangs are not run here";
  const std::int64_t tasks = job.kind == JobKind::array ? 1 : job.tasks;
  const auto over = [&](std::int64_t each, double most) {
    return most > 0 && each * tasks > std::llround(most * 1000);
  };
  if (over(job.each.cpus, team->cpus_max) || over(job.each.gpus, team->gpus_max))
    return "more than the team's limit";
  return "";
}

void JobApi::accept(JobSpec job, SteadyTime since, Respond respond) {
  const std::string id = job.id;
  const storage::JobRecord record{std::move(job), runtime_.wall_now(), false};
  const protocol::Json value = storage::encode(record);
  if (value.dump().size() > settings_.state_limits.max_value_bytes())
    return respond({422, protocol::encode_error(record_too_large)});
  protocol::Transaction transaction;
  transaction.conditions = {{job_key(id), 0}, {final_record_key(id), 0}};
  transaction.changes = {{job_key(id), value.dump(), 0}};
  key_value_client_.compare_and_swap(
      transaction, RequestPriority::user,
      [this, id, record, value, since,
       respond = std::move(respond)](const TransactionResult& result) {
        switch (result.status) {
          case CallStatus::ok:
            shared_state_.apply_response(job_key(id), value, result.revision);
            spdlog::info("job accepted id={} class={} team={} tasks={}", id, record.spec.job_class,
                         record.spec.team, record.spec.tasks);
            return respond({201, protocol::encode_submitted(id, JobState::queued)});
          case CallStatus::conflict:
            return read_again(id, [this, id, respond](ReadResult certainty) {
              if (certainty == ReadResult::live || certainty == ReadResult::over)
                return answer_state(id, false, respond);
              respond(later());
            });
          case CallStatus::throttled:
            if (!within_retry_deadline(since)) return respond(later());
            runtime_.after(constants::throttle_pause, [this, spec = record.spec, since, respond] {
              accept(spec, since, respond);
            });
            return;
          case CallStatus::invalid:
            return respond({422, protocol::encode_error(record_too_large)});
          default:
            return respond(later());
        }
      });
}

// --- cancel ---

void JobApi::cancel(const std::string& id, const Respond& respond) {
  if (!protocol::valid_job_id(id)) return respond(not_found());
  if (must_turn_away()) return respond(later());
  mark_cancelled(id, runtime_.now(), respond);
}

void JobApi::mark_cancelled(const std::string& id, SteadyTime since, const Respond& respond) {
  const CachedJob* known = shared_state_.job(id);
  if (shared_state_.final_state(id) || (known != nullptr && known->record.cancelled))
    return answer_state(id, false, respond);
  const auto again = [this, id, since, respond](ReadResult certainty) {
    if (certainty == ReadResult::absent) return respond(not_found());
    if (certainty == ReadResult::unsure || !within_retry_deadline(since)) return respond(later());
    mark_cancelled(id, since, respond);
  };
  if (known == nullptr) return read_again(id, again);
  const protocol::Json value =
      storage::encode_cancelled(known->record, settings_.state_limits.max_value_bytes());
  protocol::Transaction transaction;
  transaction.conditions = {{job_key(id), known->version}};
  transaction.changes = {{job_key(id), value.dump(), 0}};
  key_value_client_.compare_and_swap(
      transaction, RequestPriority::user,
      [this, id, value, again, since, respond](const TransactionResult& result) {
        if (result.status == CallStatus::ok) {
          shared_state_.apply_response(job_key(id), value, result.revision);
          spdlog::info("job cancelled id={}", id);
          return respond({200, protocol::encode_submitted(id, JobState::cancelled)});
        }
        if (result.status == CallStatus::conflict) return read_again(id, again);
        if (result.status != CallStatus::throttled || !within_retry_deadline(since))
          return respond(later());
        runtime_.after(constants::throttle_pause,
                       [this, id, since, respond] { mark_cancelled(id, since, respond); });
      });
}

}  // namespace poppystile::coordination
