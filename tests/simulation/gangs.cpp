#include "simulation/gangs.hpp"

#include <algorithm>
#include <cmath>

namespace poppystile::simulation {

namespace {
constexpr Seconds host_check_interval{0.5};
// Minimum run time of an attempt, even if all of its work is already saved.
constexpr double min_work_s = 0.1;
constexpr double min_run_factor = 0.6, max_run_factor = 1.4;  // multiples of the estimated run time
constexpr double min_notice_factor = 0.2;  // multiple of GangTiming::peer_timeout
}  // namespace

void Gangs::join(const std::string& job, std::uint64_t attempt, std::uint32_t index, GangHost& host,
                 std::uint64_t run) {
  const Key key{job, attempt};
  Attempt& joined = attempts_[key];
  joined.members[index] = {&host, run, false};
  queue_.after(timing_.start_timeout, [this, key, index, run] {
    Attempt& now = attempts_[key];
    const auto member = now.members.find(index);
    if (now.is_started || member == now.members.end() || member->second.run != run) return;
    ++incomplete_;
    member->second.host->end_gang_task(run, "alone", false);
  });
  if (!joined.is_started && joined.members.size() == invariants_.find_job(job)->tasks) start(key);
}

void Gangs::start(const Key& key) {
  Attempt& attempt = attempts_[key];
  attempt.is_started = true;
  attempt.started_at = queue_.now();
  ++started_;
  for (auto& [index, member] : attempt.members) member.host->start_gang_task(member.run);
  const double remaining_work_s = total_work_s(key.first) - saved_progress_s_[key.first];
  queue_.after(Seconds{std::max(min_work_s, remaining_work_s)}, [this, key] { complete(key); });
  check_hosts(key);
}

bool Gangs::has_hanging_host(const Attempt& attempt) {
  return std::any_of(attempt.members.begin(), attempt.members.end(),
                     [](const auto& each) { return each.second.host->is_hanging(); });
}

// The other tasks treat the task on a hanging machine as lost.
void Gangs::check_hosts(const Key& key) {
  const Attempt& attempt = attempts_[key];
  if (attempt.is_ended) return;
  if (has_hanging_host(attempt)) return fail(key);
  queue_.after(host_check_interval, [this, key] { check_hosts(key); });
}

void Gangs::complete(const Key& key) {
  Attempt& attempt = attempts_[key];
  if (attempt.is_ended || attempt.stopped_at >= 0) return;
  if (has_hanging_host(attempt)) return fail(key);
  attempt.is_ended = true;
  for (std::uint32_t index = 0; index < invariants_.find_job(key.first)->tasks; ++index)
    invariants_.record_task_completed(key.first, index);
  end_all_tasks(key, "done", false);
}

void Gangs::leave(const std::string& job, std::uint64_t attempt, std::uint32_t index) {
  const Key key{job, attempt};
  Attempt& attempt_state = attempts_[key];
  if (attempt_state.members.erase(index) > 0 && attempt_state.is_started && !attempt_state.is_ended)
    fail(key);
}

void Gangs::fail(const Key& key) {
  Attempt& attempt = attempts_[key];
  attempt.is_ended = true;
  ++failed_;
  const double interval = invariants_.find_job(key.first)->checkpoint_interval.count();
  double& saved = saved_progress_s_[key.first];
  if (interval > 0) saved = std::max(saved, std::floor(progress_s(key) / interval) * interval);
  for (const auto& [index, member] : attempt.members)
    queue_.after(timing_.peer_timeout * queue_.uniform(min_notice_factor, 1),
                 [this, key, index = index] {
                   const auto found = attempts_[key].members.find(index);
                   if (found == attempts_[key].members.end()) return;
                   const Member remaining_member = found->second;
                   remaining_member.host->end_gang_task(remaining_member.run, "peers", false);
                 });
}

void Gangs::stop(const std::string& job, std::uint64_t attempt, std::uint32_t index,
                 Seconds grace) {
  const Key key{job, attempt};
  Attempt& attempt_state = attempts_[key];
  const auto found = attempt_state.members.find(index);
  if (found == attempt_state.members.end()) return;
  const protocol::JobSpec& spec = *invariants_.find_job(job);
  const Seconds save_time = spec.checkpoint_save_time;
  if (!attempt_state.is_started || attempt_state.is_ended ||
      spec.checkpoint_interval <= Seconds{0} || grace < save_time) {
    const Member member = found->second;
    return member.host->end_gang_task(member.run, "halted", false);
  }
  found->second.is_stopping = true;
  if (attempt_state.stopped_at < 0) {
    attempt_state.stopped_at = queue_.now();
    queue_.after(timing_.peer_timeout, [this, key] {
      const Attempt& now = attempts_[key];
      if (!now.is_ended && !all_stopping(now)) fail(key);
    });
  }
  if (all_stopping(attempt_state)) queue_.after(save_time, [this, key] { save(key); });
}

bool Gangs::all_stopping(const Attempt& attempt) {
  return std::all_of(attempt.members.begin(), attempt.members.end(),
                     [](const auto& each) { return each.second.is_stopping; });
}

void Gangs::save(const Key& key) {
  Attempt& attempt = attempts_[key];
  if (attempt.is_ended) return;
  double& saved = saved_progress_s_[key.first];
  saved = std::max(saved, progress_s(key));
  attempt.is_ended = true;
  ++saved_;
  end_all_tasks(key, "halted", true);
}

void Gangs::end_all_tasks(const Key& key, const std::string& cause, bool saved) {
  const auto members = attempts_[key].members;  // a copy, since end_gang_task removes the member
  for (const auto& [index, member] : members) member.host->end_gang_task(member.run, cause, saved);
}

double Gangs::progress_s(const Key& key) {
  const Attempt& attempt = attempts_[key];
  const double until = attempt.stopped_at >= 0 ? attempt.stopped_at : queue_.now();
  return saved_progress_s_[key.first] + until - attempt.started_at;
}

double Gangs::total_work_s(const std::string& job) {
  const auto [found, inserted] = total_work_s_.try_emplace(job, 0);
  if (inserted)
    found->second = invariants_.find_job(job)->estimated_run_time.count() *
                    queue_.uniform(min_run_factor, max_run_factor);
  return found->second;
}

}  // namespace poppystile::simulation
