#include "simulation/gangs.hpp"

#include <algorithm>
#include <cmath>

namespace poppystile::simulation {

namespace {
constexpr double watch_every_s = 0.5;  // how often the tasks of a gang look at one another
}  // namespace

void Gangs::join(const std::string& job, std::uint64_t attempt, std::uint32_t index, GangHost& host,
                 std::uint64_t task) {
  const Key key{job, attempt};
  Attempt& made = attempts_[key];
  made.members[index] = {&host, task, false};
  queue_.after(timing_.wait_s, [this, key, index, task] {
    Attempt& now = attempts_[key];
    const auto member = now.members.find(index);
    if (now.begun || member == now.members.end() || member->second.task != task) return;
    ++incomplete_;
    member->second.host->end_gang_task(task, "alone", false);
  });
  if (!made.begun && made.members.size() == invariants_.job(job)->tasks) begin(key);
}

void Gangs::begin(const Key& key) {
  Attempt& attempt = attempts_[key];
  attempt.begun = true;
  attempt.begun_at = queue_.now();
  ++begun_;
  for (auto& [index, member] : attempt.members) member.host->begin_gang_task(member.task);
  queue_.after(std::max(0.1, total_s(key.first) - saved_s_[key.first]),
               [this, key] { finish(key); });
  watch(key);
}

bool Gangs::any_host_hangs(const Attempt& attempt) {
  return std::any_of(attempt.members.begin(), attempt.members.end(),
                     [](const auto& each) { return each.second.host->is_hanging(); });
}

// A machine that hangs is noticed as if its task were gone.
void Gangs::watch(const Key& key) {
  Attempt& attempt = attempts_[key];
  if (attempt.over) return;
  if (any_host_hangs(attempt)) return fail(key);
  queue_.after(watch_every_s, [this, key] { watch(key); });
}

void Gangs::finish(const Key& key) {
  Attempt& attempt = attempts_[key];
  if (attempt.over || attempt.stopped_at >= 0) return;
  if (any_host_hangs(attempt)) return fail(key);
  attempt.over = true;
  for (std::uint32_t index = 0; index < invariants_.job(key.first)->tasks; ++index)
    invariants_.completed(key.first, index);
  evict_all(key, "done", false);
}

void Gangs::leave(const std::string& job, std::uint64_t attempt, std::uint32_t index) {
  const Key key{job, attempt};
  Attempt& known = attempts_[key];
  if (known.members.erase(index) > 0 && known.begun && !known.over) fail(key);
}

void Gangs::fail(const Key& key) {
  Attempt& attempt = attempts_[key];
  attempt.over = true;
  ++failures_;
  const double every = invariants_.job(key.first)->checkpoint_interval.count();
  if (every > 0)
    saved_s_[key.first] =
        std::max(saved_s_[key.first], std::floor(progress_s(key) / every) * every);
  for (const auto& [index, member] : attempt.members)
    queue_.after(timing_.peer_s * queue_.uniform(0.2, 1), [this, key, index = index] {
      const auto found = attempts_[key].members.find(index);
      if (found == attempts_[key].members.end()) return;
      const Member left = found->second;
      left.host->end_gang_task(left.task, "peers", false);
    });
}

void Gangs::stop(const std::string& job, std::uint64_t attempt, std::uint32_t index,
                 double grace_s) {
  const Key key{job, attempt};
  Attempt& known = attempts_[key];
  const auto found = known.members.find(index);
  if (found == known.members.end()) return;
  const protocol::JobSpec& spec = *invariants_.job(job);
  if (!known.begun || known.over || spec.checkpoint_interval <= Seconds{0} ||
      grace_s < spec.checkpoint_save_time.count()) {
    const Member member = found->second;
    return member.host->end_gang_task(member.task, "halted", false);
  }
  found->second.told_to_stop = true;
  if (known.stopped_at < 0) {
    known.stopped_at = queue_.now();
    // Whoever has not been told by then makes the save fail.
    queue_.after(timing_.peer_s, [this, key] {
      if (!attempts_[key].over && !all_told(key)) fail(key);
    });
  }
  if (all_told(key)) queue_.after(spec.checkpoint_save_time.count(), [this, key] { store(key); });
}

bool Gangs::all_told(const Key& key) {
  const Attempt& attempt = attempts_[key];
  return std::all_of(attempt.members.begin(), attempt.members.end(),
                     [](const auto& each) { return each.second.told_to_stop; });
}

void Gangs::store(const Key& key) {
  Attempt& attempt = attempts_[key];
  if (attempt.over) return;
  saved_s_[key.first] = std::max(saved_s_[key.first], progress_s(key));
  attempt.over = true;
  ++saves_;
  evict_all(key, "halted", true);
}

void Gangs::evict_all(const Key& key, const std::string& cause, bool stored) {
  const auto members = attempts_[key].members;  // each end removes one
  for (const auto& [index, member] : members)
    member.host->end_gang_task(member.task, cause, stored);
}

double Gangs::progress_s(const Key& key) {
  const Attempt& attempt = attempts_[key];
  const double until = attempt.stopped_at >= 0 ? attempt.stopped_at : queue_.now();
  return saved_s_[key.first] + until - attempt.begun_at;
}

double Gangs::total_s(const std::string& job) {
  const auto [found, inserted] = total_s_.try_emplace(job, 0);
  if (inserted)
    found->second = invariants_.job(job)->estimated_run_time.count() * queue_.uniform(0.6, 1.4);
  return found->second;
}

}  // namespace poppystile::simulation
