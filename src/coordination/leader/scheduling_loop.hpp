/// \file
/// Decides when to plan, and applies plans: adds placements to the cluster state and the journal,
/// and stops preempted tasks.
#pragma once

#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <string>
#include <vector>

#include "clock.hpp"
#include "cluster/attempt_numbers.hpp"
#include "cluster/cluster_state.hpp"
#include "coordination/election/leader_election.hpp"
#include "coordination/journal/journal_writer.hpp"
#include "coordination/leader/gang_tracker.hpp"
#include "coordination/leader/task_stopper.hpp"
#include "planning/planner.hpp"
#include "protocol/properties.hpp"
#include "protocol/settings.hpp"
#include "transport/event_loop.hpp"

namespace poppystile::coordination {

class SchedulingLoop {
 public:
  SchedulingLoop(const transport::Runtime& runtime, cluster::ClusterState& cluster_state,
                 LeaderElection& election, JournalWriter& journal, const GangTracker& gangs,
                 const TaskStopper& stopper, const protocol::Settings& settings,
                 const protocol::Properties& properties);

  /// Begins a term with this fencing token, from which its attempt numbers are derived.
  void begin_term(std::uint64_t token) { attempts_ = cluster::AttemptNumbers(token); }

  /// Requests a plan, because of a change that may let it place tasks.
  void request_plan() { plan_requested_ = true; }

  /// Checks every job once: abandons gang attempts whose lost tasks were not replaced in time, and
  /// requests a plan if a task of a job that is not cancelled waits.
  void check_jobs();

  /// Makes and applies a plan if one was requested and the pause after the last one has passed;
  /// returns whether that was so. Resigns instead if the term's attempt numbers are exhausted.
  bool run_if_due();

  /// Whether a plan has been requested that may place a task on the machine.
  bool may_place_on(const cluster::Machine& machine) const;

 private:
  void plan();
  planning::PlanningContext planning_context(SteadyTime now) const;
  void log_waiting_gangs(std::map<std::string, planning::GangWaitReason> wait_reasons);
  void log_zone_choices(std::map<std::string, planning::ZoneChoice> choices);
  void apply_placements(const std::vector<planning::PlannedPlacement>& placements,
                        std::uint64_t plan_attempt, SteadyTime now);
  void apply_preemptions(const std::vector<planning::PlannedPreemption>& preemptions);
  void update_least_waiting_cpus();

  const transport::Runtime& runtime_;
  cluster::ClusterState& cluster_state_;
  LeaderElection& election_;
  JournalWriter& journal_;
  const GangTracker& gangs_;
  const TaskStopper& stopper_;
  const protocol::Settings& settings_;
  const protocol::Properties& properties_;
  cluster::AttemptNumbers attempts_;
  bool plan_requested_ = false;
  SteadyTime next_plan_at_;
  // The gangs that wait as of the newest plan, by job id.
  std::map<std::string, planning::GangWaitReason> waiting_gangs_;
  // The zones chosen for arrays as of the newest plan, by job id.
  std::map<std::string, planning::ZoneChoice> zone_choices_;
  // The smallest CPU demand of a waiting task as of the newest plan; the maximum if no task waits.
  std::int64_t least_waiting_cpus_ = std::numeric_limits<std::int64_t>::max();
};

}  // namespace poppystile::coordination
