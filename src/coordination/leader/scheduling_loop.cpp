#include "coordination/leader/scheduling_loop.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "constants.hpp"
#include "planning/eligibility.hpp"
#include "storage/journal_entry.hpp"

namespace poppystile::coordination {

using cluster::Job;
using cluster::Machine;
using cluster::Placement;
using storage::IndexRange;

SchedulingLoop::SchedulingLoop(const transport::Runtime& runtime,
                               cluster::ClusterState& cluster_state, LeaderElection& election,
                               JournalWriter& journal, const GangTracker& gangs,
                               const TaskStopper& stopper, const protocol::Settings& settings,
                               const protocol::Properties& properties)
    : runtime_(runtime),
      cluster_state_(cluster_state),
      election_(election),
      journal_(journal),
      gangs_(gangs),
      stopper_(stopper),
      settings_(settings),
      properties_(properties) {}

void SchedulingLoop::check_jobs() {
  for (auto& [id, job] : cluster_state_.jobs) {
    if (job.is_gang()) gangs_.check_assembly(job, runtime_.now());
    if (job.waiting() > 0 && !job.record.cancelled) request_plan();
  }
}

bool SchedulingLoop::run_if_due() {
  if (!plan_requested_ || runtime_.now() < next_plan_at_) return false;
  plan();
  return true;
}

bool SchedulingLoop::may_place_on(const Machine& machine) const {
  return plan_requested_ && planning::is_schedulable(machine, runtime_.now()) &&
         machine.free_resources().cpus >= least_waiting_cpus_;
}

void SchedulingLoop::plan() {
  const SteadyTime started_at = runtime_.now();
  plan_requested_ = false;
  const auto attempt = attempts_.next();
  if (!attempt) return election_.resign("attempt numbers of the term exhausted", Seconds{0});
  planning::Plan new_plan = planning::make_plan(cluster_state_, planning_context(started_at));
  log_waiting_gangs(std::move(new_plan.waiting_gangs));
  log_zone_choices(std::move(new_plan.zone_choices));
  apply_placements(new_plan.placements, *attempt, started_at);
  apply_preemptions(new_plan.preemptions);
  update_least_waiting_cpus();
  // The pause is proportional to the plan's duration, so that heartbeats get most of the processor
  // time.
  const SteadyTime ended_at = runtime_.now();
  next_plan_at_ = ended_at + std::max(constants::min_plan_interval,
                                      (ended_at - started_at) * constants::planning_pause_factor);
}

planning::PlanningContext SchedulingLoop::planning_context(SteadyTime now) const {
  planning::PlanningContext context;
  context.now = now;
  context.teams = &settings_.teams;
  context.weights = {constants::local_task_units, constants::remote_task_units,
                     properties_.remote_offset_units, true};
  context.heartbeat_interval = settings_.heartbeat_interval;
  context.wall_now = runtime_.wall_now();
  context.finish_objectives = &settings_.finish_objectives;
  if (settings_.gang_times)
    context.gang_task_replacement_window = settings_.gang_times->task_replacement_window();
  return context;
}

// Logs why a gang waits when it begins to wait and whenever the reason changes.
void SchedulingLoop::log_waiting_gangs(
    std::map<std::string, planning::GangWaitReason> wait_reasons) {
  for (const auto& [id, reason] : wait_reasons) {
    const auto previous = waiting_gangs_.find(id);
    if (previous == waiting_gangs_.end() || previous->second != reason)
      spdlog::info("gang waits id={} why=\"{}\"", id, planning::to_string(reason));
  }
  waiting_gangs_ = std::move(wait_reasons);
}

// Logs the zone of an array whose tasks must be in one zone, when it is chosen first and whenever
// it changes.
void SchedulingLoop::log_zone_choices(std::map<std::string, planning::ZoneChoice> choices) {
  for (const auto& [id, choice] : choices) {
    const auto previous = zone_choices_.find(id);
    if (previous == zone_choices_.end() || previous->second.zone != choice.zone)
      spdlog::info("zone chosen job={} zone={} free_tasks={}", id, choice.zone, choice.free_tasks);
  }
  zone_choices_ = std::move(choices);
}

void SchedulingLoop::apply_placements(const std::vector<planning::PlannedPlacement>& placements,
                                      std::uint64_t plan_attempt, SteadyTime now) {
  // Log position of each gang's last entry, by job id.
  std::map<std::string, std::uint64_t> gang_positions;
  for (const auto& planned : placements) {
    Machine& machine = cluster_state_.machines.at(planned.machine);
    Job& job = cluster_state_.jobs.at(planned.job);
    if (job.is_gang()) GangTracker::on_placed(job, plan_attempt, now);
    const std::uint64_t attempt = job.is_gang() ? job.gang.number : plan_attempt;
    Placement& placed = cluster_state_.place(machine, job, attempt, now);
    placed.log_position = journal_.append(
        storage::TaskPlaced{placed.job, attempt, {{machine.id, IndexRange::single(placed.index)}}});
    if (job.is_gang()) gang_positions[job.spec().id] = placed.log_position;
    spdlog::debug("task placed job={} index={} machine={}", placed.job, placed.index, machine.id);
  }
  // No task of a gang is started before the journal records the placements of all its tasks, so
  // that a successor restores the complete gang.
  for (const auto& [id, position] : gang_positions)
    cluster_state_.jobs.at(id).for_each_placement([position = position](Placement& gang_placement) {
      gang_placement.log_position = position;
    });
}

void SchedulingLoop::apply_preemptions(
    const std::vector<planning::PlannedPreemption>& preemptions) {
  for (const auto& planned : preemptions) {
    Placement* placement = cluster_state_.machines.at(planned.machine)
                               .find(planned.job, planned.index, planned.attempt);
    stopper_.stop_task(*placement);
    spdlog::info("task preempted job={} index={} machine={}", planned.job, planned.index,
                 planned.machine);
  }
}

void SchedulingLoop::update_least_waiting_cpus() {
  least_waiting_cpus_ = std::numeric_limits<std::int64_t>::max();
  for (const auto& [id, job] : cluster_state_.jobs)
    if (job.waiting() > 0 && !job.record.cancelled)
      least_waiting_cpus_ = std::min(least_waiting_cpus_, job.spec().task_resources.cpus);
}

}  // namespace poppystile::coordination
