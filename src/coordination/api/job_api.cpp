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
using storage::job_key;
using storage::over_key;
using transport::HttpResponse;
using transport::Respond;

namespace {

HttpResponse later() {
  return {503, protocol::encode_error("state service not reached, come back"),
          constants::retry_after_s};
}

constexpr const char* too_large = "the job's description is too large to be stored";

HttpResponse not_found() { return {404, protocol::encode_error("no such job")}; }

}  // namespace

JobApi::JobApi(transport::Runtime& runtime, StateStore& store, Directory& directory,
               const protocol::Settings& settings,
               std::function<TaskCounts(const std::string&)> counts)
    : runtime_(runtime),
      store_(store),
      directory_(directory),
      settings_(settings),
      counts_(std::move(counts)) {}

bool JobApi::must_turn_away() const { return !directory_.loaded() || store_.crowded(); }

bool JobApi::patient(double since_s) const {
  return runtime_.now_s() - since_s < constants::accept_patience_s;
}

JobState JobApi::state_of(const std::string& id) const {
  if (const auto final_state = directory_.final_state(id)) return *final_state;
  const KnownJob* known = directory_.job(id);
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
  return runtime_.now_s() - store_.answered_sent_s() <= constants::verified_fresh_s;
}

void JobApi::verify(const std::string& id, Verified answer) {
  gathered_.push_back({id, std::move(answer)});
  if (gathered_.size() == 1) runtime_.after(constants::poll_gather_s, [this] { ask_gathered(); });
}

void JobApi::ask_gathered() {
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
    if (directory_.final_state(each.id)) {
      each.answer(Certainty::over);
      continue;
    }
    const KnownJob* known = directory_.job(each.id);
    if (known != nullptr) {
      comparison.conditions.push_back({job_key(each.id), known->version});
    } else {
      comparison.conditions.push_back({job_key(each.id), 0});
      comparison.conditions.push_back({over_key(each.id), 0});
    }
    open.push_back(std::move(each));
  }
  if (open.empty()) return;
  std::set<std::string> live;
  for (const auto& each : open)
    if (directory_.job(each.id) != nullptr) live.insert(each.id);
  store_.transact(
      comparison, Urgency::user,
      [this, open = std::move(open), live = std::move(live)](TransactionResult result) mutable {
        const std::set<std::string> failed(result.failed.begin(), result.failed.end());
        for (auto& each : open) {
          const bool told = result.outcome == Outcome::ok && fresh();
          if (told) {
            each.answer(live.contains(each.id) ? Certainty::live : Certainty::absent);
          } else if (result.outcome != Outcome::conflict) {
            each.answer(Certainty::unsure);
          } else if (failed.contains(job_key(each.id)) || failed.contains(over_key(each.id))) {
            read_again(each.id, std::move(each.answer));
          } else {
            verify(each.id, std::move(each.answer));
          }
        }
      });
}

// The job first: a job that ends between the two reads is then found among those that are over.
void JobApi::read_again(const std::string& id, Verified answer) {
  store_.get(job_key(id), Urgency::user,
             [this, id, answer = std::move(answer)](Outcome outcome,
                                                    std::optional<protocol::Entry> job) mutable {
               if (outcome != Outcome::ok) return answer(Certainty::unsure);
               if (job) {
                 directory_.learn(job->key, job->value, job->version);
                 if (!fresh()) return answer(Certainty::unsure);
                 return answer(directory_.job(id) != nullptr ? Certainty::live : Certainty::over);
               }
               store_.get(over_key(id), Urgency::user,
                          [this, answer = std::move(answer)](Outcome second,
                                                             std::optional<protocol::Entry> over) {
                            if (second != Outcome::ok) return answer(Certainty::unsure);
                            if (!over)
                              return answer(fresh() ? Certainty::absent : Certainty::unsure);
                            directory_.learn(over->key, over->value, over->version);
                            answer(Certainty::over);
                          });
             });
}

// --- show ---

void JobApi::show(const std::string& id, Respond respond) {
  if (!protocol::valid_job_id(id)) return respond(not_found());
  const KnownJob* known = directory_.job(id);
  if (directory_.final_state(id) || (known != nullptr && known->record.cancelled))
    return answer_state(id, true, respond);
  if (must_turn_away()) return respond(later());
  verify(id, [this, id, respond = std::move(respond)](Certainty certainty) {
    if (certainty == Certainty::unsure) return respond(later());
    if (certainty == Certainty::absent) return respond(not_found());
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
  if (directory_.final_state(job.id) || directory_.job(job.id) != nullptr)
    return answer_current(job.id, std::move(respond));
  if (directory_.types().empty())
    return respond(
        {503, protocol::encode_error("machine types not known yet"), constants::retry_after_s});
  if (const std::string why = refusal(job); !why.empty())
    return respond({422, protocol::encode_error(why)});
  accept(std::move(job), runtime_.now_s(), std::move(respond));
}

void JobApi::answer_current(const std::string& id, Respond respond) {
  if (directory_.final_state(id)) return answer_state(id, false, respond);
  verify(id, [this, id, respond = std::move(respond)](Certainty certainty) {
    if (certainty == Certainty::live || certainty == Certainty::over)
      return answer_state(id, false, respond);
    respond(later());
  });
}

// Why the job can never run; empty when it can. Leaves only known types in its list, which also
// bounds the size of its record.
std::string JobApi::refusal(JobSpec& job) const {
  const auto team = std::find_if(settings_.teams.begin(), settings_.teams.end(),
                                 [&](const auto& each) { return each.name == job.team; });
  if (team == settings_.teams.end()) return "unknown team";
  const auto named = [&](const std::string& type) {
    return !job.types || std::find(job.types->begin(), job.types->end(), type) != job.types->end();
  };
  std::vector<std::string> allowed;
  bool fits = false;
  for (const auto& type : directory_.types()) {
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

void JobApi::accept(JobSpec job, double since_s, Respond respond) {
  const std::string id = job.id;
  const storage::JobRecord record{std::move(job), runtime_.wall_s(), false};
  const protocol::Json value = storage::encode(record);
  if (value.dump().size() > settings_.state_limits.max_value_bytes())
    return respond({422, protocol::encode_error(too_large)});
  protocol::Transaction transaction;
  transaction.conditions = {{job_key(id), 0}, {over_key(id), 0}};
  transaction.changes = {{job_key(id), value.dump(), 0}};
  store_.transact(transaction, Urgency::user,
                  [this, id, record, value, since_s,
                   respond = std::move(respond)](const TransactionResult& result) {
                    switch (result.outcome) {
                      case Outcome::ok:
                        directory_.learn(job_key(id), value, result.revision);
                        spdlog::info("job accepted id={} class={} team={} tasks={}", id,
                                     record.spec.job_class, record.spec.team, record.spec.tasks);
                        return respond({201, protocol::encode_submitted(id, JobState::queued)});
                      case Outcome::conflict:
                        return read_again(id, [this, id, respond](Certainty certainty) {
                          if (certainty == Certainty::live || certainty == Certainty::over)
                            return answer_state(id, false, respond);
                          respond(later());
                        });
                      case Outcome::throttled:
                        if (!patient(since_s)) return respond(later());
                        runtime_.after(constants::throttle_pause_s,
                                       [this, spec = record.spec, since_s, respond] {
                                         accept(spec, since_s, respond);
                                       });
                        return;
                      case Outcome::invalid:
                        return respond({422, protocol::encode_error(too_large)});
                      default:
                        return respond(later());
                    }
                  });
}

// --- cancel ---

void JobApi::cancel(const std::string& id, const Respond& respond) {
  if (!protocol::valid_job_id(id)) return respond(not_found());
  if (must_turn_away()) return respond(later());
  mark_cancelled(id, runtime_.now_s(), respond);
}

void JobApi::mark_cancelled(const std::string& id, double since_s, const Respond& respond) {
  const KnownJob* known = directory_.job(id);
  if (directory_.final_state(id) || (known != nullptr && known->record.cancelled))
    return answer_state(id, false, respond);
  const auto again = [this, id, since_s, respond](Certainty certainty) {
    if (certainty == Certainty::absent) return respond(not_found());
    if (certainty == Certainty::unsure || !patient(since_s)) return respond(later());
    mark_cancelled(id, since_s, respond);
  };
  if (known == nullptr) return read_again(id, again);
  const protocol::Json value =
      storage::encode_cancelled(known->record, settings_.state_limits.max_value_bytes());
  protocol::Transaction transaction;
  transaction.conditions = {{job_key(id), known->version}};
  transaction.changes = {{job_key(id), value.dump(), 0}};
  store_.transact(transaction, Urgency::user,
                  [this, id, value, again, since_s, respond](const TransactionResult& result) {
                    if (result.outcome == Outcome::ok) {
                      directory_.learn(job_key(id), value, result.revision);
                      spdlog::info("job cancelled id={}", id);
                      return respond({200, protocol::encode_submitted(id, JobState::cancelled)});
                    }
                    if (result.outcome == Outcome::conflict) return read_again(id, again);
                    if (result.outcome != Outcome::throttled || !patient(since_s))
                      return respond(later());
                    runtime_.after(constants::throttle_pause_s, [this, id, since_s, respond] {
                      mark_cancelled(id, since_s, respond);
                    });
                  });
}

}  // namespace poppystile::coordination
