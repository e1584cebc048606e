#include "simulation/scenario_expectations.hpp"

#include <map>
#include <stdexcept>

namespace poppystile::simulation {

namespace {

using Measure = double (*)(Simulation&);

const std::map<std::string, Measure>& job_measures() {
  static const std::map<std::string, Measure> measures = {
      {"started", [](Simulation& s) { return static_cast<double>(s.invariants().starts()); }},
      {"accepted",
       [](Simulation& s) { return static_cast<double>(s.invariants().accepted_jobs()); }},
      {"done", [](Simulation& s) { return static_cast<double>(s.invariants().done_jobs()); }},
      {"cancelled",
       [](Simulation& s) { return static_cast<double>(s.invariants().cancelled_jobs()); }},
      {"failing_job_starts",
       [](Simulation& s) { return static_cast<double>(s.invariants().failing_job_starts()); }},
      {"starts_after_cancellation",
       [](Simulation& s) {
         return static_cast<double>(s.invariants().starts_after_cancellation());
       }},
      {"gangs_started", [](Simulation& s) { return static_cast<double>(s.gangs().started()); }},
      {"gangs_saved", [](Simulation& s) { return static_cast<double>(s.gangs().saved()); }},
      {"gangs_failed", [](Simulation& s) { return static_cast<double>(s.gangs().failed()); }},
      {"gangs_incomplete",
       [](Simulation& s) { return static_cast<double>(s.gangs().incomplete()); }},
  };
  return measures;
}

const std::map<std::string, Measure>& service_measures() {
  static const std::map<std::string, Measure> measures = {
      {"state_refused",
       [](Simulation& s) { return static_cast<double>(s.state_service().refused()); }},
      {"state_invalid",
       [](Simulation& s) { return static_cast<double>(s.state_service().invalid()); }},
      {"state_requests",
       [](Simulation& s) { return static_cast<double>(s.state_service().requests()); }},
      {"state_changes",
       [](Simulation& s) { return static_cast<double>(s.state_service().changes()); }},
      {"unexplained_lease_expirations",
       [](Simulation& s) {
         return static_cast<double>(s.fleet().unexplained_lease_expirations());
       }},
      {"stale_releases",
       [](Simulation& s) { return static_cast<double>(s.controllers().stale_releases()); }},
      {"lost_start_commands",
       [](Simulation& s) { return static_cast<double>(s.heartbeats().lost_start_commands()); }},
      {"machine_seconds", [](Simulation& s) { return s.cloud().machine_seconds(); }},
  };
  return measures;
}

}  // namespace

double measure(Simulation& simulation, const std::string& name) {
  const std::string running = "running:";
  if (name.starts_with(running))
    return static_cast<double>(simulation.invariants().running_tasks(name.substr(running.size())));
  for (const auto* measures : {&job_measures(), &service_measures()})
    if (const auto found = measures->find(name); found != measures->end())
      return found->second(simulation);
  throw std::runtime_error("unknown measure in an expect statement: " + name);
}

}  // namespace poppystile::simulation
