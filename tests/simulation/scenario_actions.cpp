#include "simulation/scenario_actions.hpp"

#include <algorithm>
#include <map>
#include <stdexcept>
#include <string>
#include <vector>

namespace poppystile::simulation {

namespace {

using Action = void (*)(Simulation&, const Statement&);
using Actions = std::map<std::string, Action>;

constexpr double default_duration_s = 10;
constexpr double default_restart_s = 5;
constexpr double default_max_duplicate_delay_s = 40;
constexpr Seconds max_write_delay{12};  // every delayed write has been executed after this time

Seconds duration_of(const Statement& statement) {
  return statement.seconds("duration", default_duration_s);
}

int count_of(const Statement& statement) { return statement.count("count", 1); }

ControllerProcess& controller_of(Simulation& simulation, const Statement& statement) {
  return simulation.controllers().select(statement.text("controller", "leader"));
}

NetworkPartition partition_of(const Statement& statement) {
  NetworkPartition partition;
  for (const auto& link : split(statement.text("links", "state"), ',')) {
    partition.state_service = partition.state_service || link == "state";
    partition.workers = partition.workers || link == "workers";
    partition.peers = partition.peers || link == "peers";
    partition.users = partition.users || link == "users";
    partition.watches = partition.watches || link == "watches";
  }
  partition.deliver_on_heal = statement.flag("deliver_on_heal");
  partition.reject_state_calls = statement.flag("reject");
  return partition;
}

AddedLatency latency_of(const Statement& statement, double default_share, double default_delay_s) {
  return {statement.number("share", default_share), statement.seconds("delay", default_delay_s)};
}

Duplication duplication_of(const Statement& statement, double default_min_delay_s) {
  return {statement.number("share", 0.2), statement.seconds("min_delay", default_min_delay_s),
          statement.seconds("max_delay", default_max_duplicate_delay_s)};
}

// Declares that the fault has effects until `aftermath` after its end.
void extend_fault(Simulation& simulation, const Statement& statement, Seconds aftermath) {
  simulation.invariants().expect_faults_until(simulation.queue().now() +
                                              duration_of(statement).count() + aftermath.count());
}

void crash(Simulation& simulation, const Statement& statement) {
  const Seconds restart_after = statement.seconds("restart_after", default_restart_s);
  const std::string selector = statement.text("controller", "any");
  if (selector != "all") return simulation.controllers().select(selector).crash(restart_after);
  for (const auto& controller : simulation.controllers().processes())
    controller->crash(restart_after);
}

void partition(Simulation& simulation, const Statement& statement) {
  const bool all_but_leader = statement.text("controller", "leader") == "others";
  ControllerProcess& selected = all_but_leader ? simulation.controllers().select("leader")
                                               : controller_of(simulation, statement);
  for (const auto& controller : simulation.controllers().processes())
    if ((controller.get() == &selected) != all_but_leader)
      simulation.faults().partition(*controller, partition_of(statement), duration_of(statement));
}

void duplicate_heartbeats(Simulation& simulation, const Statement& statement) {
  const Duplication duplication = duplication_of(statement, 2);
  simulation.faults().duplicate_heartbeats(duplication, duration_of(statement));
  extend_fault(simulation, statement, duplication.max_delay);
}

void duplicate_calls(Simulation& simulation, const Statement& statement) {
  const Duplication duplication = duplication_of(statement, 0.5);
  simulation.faults().duplicate_calls(duplication, duration_of(statement));
  extend_fault(simulation, statement, duplication.max_delay);
}

void delay_writes(Simulation& simulation, const Statement& statement) {
  simulation.faults().delay_writes(statement.number("share", 0.2), duration_of(statement));
  extend_fault(simulation, statement, max_write_delay);
}

void lower_limits(Simulation& simulation, const Statement&) {
  if (const auto& limits = simulation.settings().next_limits)
    simulation.faults().lower_state_limits(*limits);
}

// If the statement has a `hang` value, the machines of the cancelled jobs hang for that many
// seconds.
void cancel_running(Simulation& simulation, const Statement& statement) {
  const auto machines =
      simulation.users().cancel_running(count_of(statement), statement.text("class", ""));
  const Seconds hang = statement.seconds("hang", 0);
  if (hang > Seconds{0}) simulation.faults().hang_machines(machines, hang);
}

std::string job_of(Simulation& simulation, const Statement& statement) {
  return simulation.users().find_job(statement.text("class", ""), statement.flag("finished"));
}

void cancel(Simulation& simulation, const Statement& statement) {
  if (const auto job = job_of(simulation, statement); !job.empty()) simulation.users().cancel(job);
}

void resubmit(Simulation& simulation, const Statement& statement) {
  if (const auto job = job_of(simulation, statement); !job.empty())
    simulation.users().resubmit(job);
}

const Actions& controller_actions() {
  static const Actions actions = {
      {"crash", crash},
      {"partition", partition},
      {"isolate_zone",
       [](Simulation& simulation, const Statement& s) {
         simulation.faults().isolate_zone(s.text("zone", "a"), s.flag("deliver_on_heal"),
                                          duration_of(s));
       }},
      {"pause", [](Simulation& simulation,
                   const Statement& s) { controller_of(simulation, s).pause(duration_of(s)); }},
      {"pause_next_leader",
       [](Simulation& simulation, const Statement& s) {
         simulation.faults().pause_next_leader(duration_of(s));
       }},
      {"crash_next_leader",
       [](Simulation& simulation, const Statement& s) {
         simulation.faults().crash_next_leader(s.seconds("restart_after", 0.2));
       }},
      {"partition_next_leader",
       [](Simulation& simulation, const Statement& s) {
         simulation.faults().partition_next_leader(partition_of(s), duration_of(s));
       }},
      {"crash_on_cancellation",
       [](Simulation& simulation, const Statement& s) {
         simulation.faults().crash_on_cancellation(s.seconds("restart_after", 0.3));
       }},
      {"delay_peer_messages",
       [](Simulation& simulation, const Statement& s) {
         simulation.faults().delay_peer_messages(s.seconds("delay", 5), duration_of(s));
       }},
  };
  return actions;
}

const Actions& machine_actions() {
  static const Actions actions = {
      {"lose_responses",
       [](Simulation& simulation, const Statement& s) {
         simulation.faults().lose_responses_to_machines(count_of(s), duration_of(s));
       }},
      {"block_heartbeats",
       [](Simulation& simulation, const Statement& s) {
         simulation.faults().block_heartbeats_of_machines(count_of(s), duration_of(s));
       }},
      {"hang_machines",
       [](Simulation& simulation, const Statement& s) {
         simulation.faults().hang_machines(count_of(s), duration_of(s));
       }},
      {"fail_machines", [](Simulation& simulation,
                           const Statement& s) { simulation.faults().fail_machines(count_of(s)); }},
      {"fail_tasks",
       [](Simulation& simulation, const Statement& s) {
         simulation.faults().fail_tasks_on_machines(count_of(s), duration_of(s));
       }},
      {"reclaim_spot",
       [](Simulation& simulation, const Statement& s) {
         simulation.faults().reclaim_spot_machines(s.number("share", 0.5), s.seconds("notice", 0));
       }},
      {"duplicate_heartbeats", duplicate_heartbeats},
      {"duplicate_heartbeat_responses",
       [](Simulation& simulation, const Statement& s) {
         simulation.faults().duplicate_heartbeat_responses(duplication_of(s, 0.5), duration_of(s));
       }},
      {"delay_heartbeat_responses",
       [](Simulation& simulation, const Statement& s) {
         simulation.faults().delay_heartbeat_responses(latency_of(s, 0.3, 3), duration_of(s));
       }},
  };
  return actions;
}

const Actions& service_actions() {
  static const Actions actions = {
      {"state_outage",
       [](Simulation& simulation, const Statement& s) {
         simulation.faults().state_outage(duration_of(s));
       }},
      {"lower_limits", lower_limits},
      {"cloud_outage",
       [](Simulation& simulation, const Statement& s) {
         simulation.faults().cloud_outage(duration_of(s));
       }},
      {"boot_failures",
       [](Simulation& simulation, const Statement& s) {
         simulation.faults().boot_failures(s.number("share", 0.5), duration_of(s));
       }},
      {"duplicate_calls", duplicate_calls},
      {"delay_writes", delay_writes},
      {"delay_state_responses",
       [](Simulation& simulation, const Statement& s) {
         simulation.faults().delay_state_responses(latency_of(s, 1, 0.4), duration_of(s));
       }},
      {"lose_state_responses",
       [](Simulation& simulation, const Statement& s) {
         simulation.faults().lose_state_responses(s.number("share", 1), duration_of(s));
       }},
  };
  return actions;
}

const Actions& user_actions() {
  static const Actions actions = {
      {"cancel", cancel},
      {"cancel_running", cancel_running},
      {"cancel_on_completion",
       [](Simulation& simulation, const Statement& s) {
         simulation.users().cancel_on_completion(s.number("share", 0.5), duration_of(s));
       }},
      {"resubmit", resubmit},
      {"unusual_requests",
       [](Simulation& simulation, const Statement& s) {
         simulation.users().send_unusual_requests(duration_of(s));
       }},
      {"query_all_controllers",
       [](Simulation& simulation, const Statement& s) {
         simulation.users().query_all_controllers(duration_of(s));
       }},
      {"query_unknown", [](Simulation& simulation,
                           const Statement&) { simulation.users().query_unknown("req-999999"); }},
  };
  return actions;
}

Action find_action(const Statement& statement) {
  const std::string& name = statement.words.at(2);
  for (const Actions* actions :
       {&controller_actions(), &machine_actions(), &service_actions(), &user_actions()})
    if (const auto found = actions->find(name); found != actions->end()) return found->second;
  throw std::runtime_error("line " + std::to_string(statement.line) + ": unknown action " + name);
}

}  // namespace

void perform_action(Simulation& simulation, const Statement& statement) {
  const Action action = find_action(statement);
  const Seconds fault_duration =
      std::max(duration_of(statement), statement.seconds("restart_after", default_restart_s));
  simulation.invariants().expect_faults_until(simulation.queue().now() + fault_duration.count());
  action(simulation, statement);
}

}  // namespace poppystile::simulation
