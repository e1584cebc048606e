/// \file
/// Decides when to plan, and applies plans: placements to the cluster state and the journal,
/// preemptions to the tasks that are to stop.
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

  /// A term with this fencing token begins: attempt numbers are counted within it.
  void begin_term(std::uint64_t token) { attempts_ = cluster::AttemptNumbers(token); }

  /// Something changed that may let the next plan place tasks.
  void request_plan() { plan_requested_ = true; }

  /// Looks at every job once: abandons gang attempts that were not completed in time, and requests
  /// a plan if any task waits.
  void check_jobs();

  /// Makes and applies a plan if one was requested and the pause after the last one has passed.
  /// Returns whether it did. Resigns the leadership if the term's attempt numbers are spent.
  bool run_if_due();

  /// Whether the next plan is requested already and may place a task on the machine.
  bool may_place_on(const cluster::Machine& machine) const;

 private:
  void plan();
  planning::PlanningContext planning_context(SteadyTime now) const;
  void log_waiting_gangs(std::map<std::string, planning::GangWaitReason> waits);
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
  std::map<std::string, planning::GangWaitReason> waiting_gangs_;  // of the newest plan, by job
  // The smallest CPU demand of a waiting task, as of the newest plan.
  std::int64_t least_waiting_cpus_ = std::numeric_limits<std::int64_t>::max();
};

}  // namespace poppystile::coordination
