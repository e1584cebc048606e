/// \file
/// Fixture for tests of single components of the leader: provides the components that they depend
/// on, and a cluster state to which tests add machines, jobs and placements.
#pragma once

#include <gtest/gtest.h>

#include <string>

#include "coordination/election/leader_election.hpp"
#include "coordination/journal/journal_writer.hpp"
#include "coordination/leader/gang_tracker.hpp"
#include "coordination/leader/job_finalizer.hpp"
#include "coordination/leader/machine_health.hpp"
#include "coordination/leader/task_reconciler.hpp"
#include "coordination/leader/task_stopper.hpp"
#include "unit/planning_samples.hpp"
#include "unit/shared_state_fixture.hpp"

namespace poppystile::coordination {

using cluster::ClusterState;
using cluster::Job;
using cluster::Machine;
using cluster::Placement;
using cluster::PlacementPhase;
using protocol::JobKind;
using protocol::Priority;

class LeaderPartsFixture : public SharedStateFixture {
 protected:
  LeaderPartsFixture() {
    settings.worker_lease = Seconds{10};
    settings.heartbeat_interval = Seconds{2};
    settings.cancel_timeout = Seconds{35};
  }

  Machine& add_machine(const std::string& id, std::int64_t cpus = 8) {
    Machine& machine = planning::add(cluster_state, id, cpus);
    machine.last_heartbeat_at = machine.last_response_at = caller.now();
    machine.incarnation_started_at = machine.unresponsive_since = caller.now();
    return machine;
  }
  Job& add_job(const std::string& id, JobKind kind, std::uint32_t tasks) {
    planning::add(cluster_state, planning::spec(id, kind, tasks, Priority::normal));
    return cluster_state.jobs.at(id);
  }
  // Places the job's next waiting task on the machine. The reference is valid until another task is
  // placed on that machine.
  Placement& place(Machine& machine, Job& job, std::uint64_t attempt = 1) {
    return cluster_state.place(machine, job, attempt, caller.now());
  }
  void advance(Seconds span) { queue.run_until(queue.now() + span.count()); }

  // Returns a heartbeat of the machine's present incarnation that lists no tasks.
  static protocol::Heartbeat heartbeat(const Machine& machine, std::uint64_t sequence) {
    protocol::Heartbeat message;
    message.machine = machine.id;
    message.incarnation = machine.incarnation;
    message.sequence = sequence;
    return message;
  }
  static protocol::ReportedTask reported(const Placement& placement, protocol::TaskState state,
                                         protocol::ExitCause cause = protocol::ExitCause::none) {
    return {placement.job, placement.index, placement.attempt, state, cause, false};
  }

  LeaderElection election{caller, key_value_client, shared_state, "stile-0", 7};
  JournalWriter journal{caller, key_value_client, election, settings};
  ClusterState cluster_state;
  GangTracker gangs{settings};
  TaskStopper stopper{cluster_state, gangs};
  MachineHealth health{caller, cluster_state, stopper, settings};
  JobFinalizer finalizer{caller, cluster_state, shared_state, key_value_client, election, settings};
  int plan_requests = 0;
  TaskReconciler reconciler{
      caller, cluster_state, journal, finalizer, health, settings, [this] { ++plan_requests; }};
};

}  // namespace poppystile::coordination
