#include "coordination/leader/gang_tracker.hpp"

#include <spdlog/spdlog.h>

#include <set>

namespace poppystile::coordination {

using cluster::Job;
using protocol::TaskState;
using Phase = cluster::GangAttempt::Phase;

namespace {

void begin_attempt(Job& gang, std::uint64_t attempt, SteadyTime now) {
  gang.gang = {};
  gang.gang.phase = Phase::assembling;
  gang.gang.number = attempt;
  gang.gang.placed_at = now;
}

}  // namespace

void GangTracker::on_placed(Job& gang, std::uint64_t attempt, SteadyTime now) {
  if (gang.gang.phase != Phase::none) return;
  begin_attempt(gang, attempt, now);
  spdlog::info("gang placed id={} tasks={} attempt={}", gang.spec().id, gang.spec().tasks, attempt);
}

void GangTracker::on_restored(Job& gang, SteadyTime now) {
  if (gang.placements.empty()) return;
  std::set<std::uint64_t> attempts;
  gang.for_each_placement([&](const auto& placement) { attempts.insert(placement.attempt); });
  begin_attempt(gang, *attempts.begin(), now);
  spdlog::debug("gang restored id={} tasks={} attempt={}", gang.spec().id, gang.placements.size(),
                gang.gang.number);
  if (attempts.size() > 1 || gang.waiting() > 0) abandon(gang);
}

void GangTracker::on_reported(Job& gang, TaskState state, SteadyTime now) {
  const bool has_started = state == TaskState::running || state == TaskState::saving;
  if (!has_started || gang.gang.phase != Phase::assembling) return;
  gang.gang.phase = Phase::running;
  spdlog::info("gang started id={} attempt={} after_s={:.1f}", gang.spec().id, gang.gang.number,
               (now - gang.gang.placed_at).count());
}

void GangTracker::on_task_lost(Job& gang, const std::string& machine, SteadyTime now) {
  if (gang.placements.empty()) {
    spdlog::info("gang attempt ended id={} attempt={}", gang.spec().id, gang.gang.number);
    gang.gang = {};
    return;
  }
  if (gang.gang.phase == Phase::running) return abandon(gang);
  gang.gang.task_lost_at = now;
  gang.gang.machines_with_lost_tasks.insert(machine);
}

void GangTracker::stop(Job& gang) {
  if (gang.gang.phase == Phase::assembling) return abandon(gang);
  if (gang.gang.phase != Phase::running) return;
  spdlog::info("gang stopping id={} attempt={}", gang.spec().id, gang.gang.number);
  gang.gang.phase = Phase::stopping;
  stop_placements(gang);
}

void GangTracker::abandon(Job& gang) {
  if (gang.gang.phase == Phase::none || gang.gang.is_over()) return;
  spdlog::info("gang attempt abandoned id={} attempt={} begun={}", gang.spec().id, gang.gang.number,
               gang.gang.phase == Phase::running);
  gang.gang.phase = Phase::ending;
  stop_placements(gang);
}

void GangTracker::check_assembly(Job& gang, SteadyTime now) const {
  if (gang.gang.phase != Phase::assembling || gang.waiting() == 0 || !settings_.gang_times) return;
  if (now - gang.gang.placed_at > settings_.gang_times->task_replacement_window()) abandon(gang);
}

Seconds GangTracker::stop_grace(const Job& gang) const {
  const Seconds peer_stop_delay =
      settings_.gang_times ? settings_.gang_times->peer_loss_detection : Seconds{0};
  return gang.spec().checkpoint_save_time + peer_stop_delay;
}

void GangTracker::stop_placements(Job& gang) {
  gang.for_each_placement([](auto& placement) { placement.stopping = true; });
}

}  // namespace poppystile::coordination
