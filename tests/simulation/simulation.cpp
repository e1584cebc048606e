#include "simulation/simulation.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace poppystile::simulation {

namespace {
constexpr Seconds cancellation_check_interval{0.5};
// Short enough to find a new leader before it has replayed the journal.
constexpr Seconds leader_check_interval{0.001};
// Shorter than the time for which a slot stays empty between two tasks.
constexpr Seconds waiting_check_interval{1};
constexpr double millicores_per_cpu = 1000;

std::vector<std::string> controller_names(int count) {
  std::vector<std::string> out;
  out.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) out.push_back(controller_name(i));
  return out;
}
}  // namespace

Simulation::Simulation(const SimulationSettings& settings)
    : settings_(settings),
      queue_(settings.seed),
      invariants_(queue_, settings.cancel_timeout),
      gangs_(queue_, invariants_, settings.gang_timing),
      state_service_(queue_, settings.state_rps, settings.state_write_rps, settings.txn_ops),
      cloud_(queue_, settings.list_lag),
      controllers_({queue_, network_faults_, state_service_, cloud_}),
      heartbeats_(queue_, network_faults_, controllers_),
      fleet_(queue_, invariants_, gangs_, cloud_,
             WorkerTiming{settings.heartbeat_interval, settings.worker_lease},
             controller_names(settings.controllers),
             [this](const std::string& controller, const Worker& from, const std::string& body,
                    const Worker::OnResponse& on_response) {
               heartbeats_.send(controller, from, body, on_response);
             }),
      faults_(queue_, network_faults_, state_service_, cloud_, controllers_, fleet_),
      users_(queue_, network_faults_, invariants_, controllers_,
             [this](ControllerProcess& confirming_controller) {
               faults_.cancellation_confirmed(confirming_controller);
             }) {
  network_faults_.lost_state_responses = settings.lost_state_responses;
  for (const auto& team : settings.teams)
    invariants_.set_team_quota(team.name,
                               static_cast<std::int64_t>(team.cpus_max * millicores_per_cpu));
}

void Simulation::start() {
  controllers_.start(settings_);
  check_leaders_and_cancellations();
  check_waiting_jobs();
}

void Simulation::check_leaders_and_cancellations() {
  invariants_.check_cancelled_jobs();
  faults_.check_for_leader();
  queue_.after(faults_.awaits_leader() ? leader_check_interval : cancellation_check_interval,
               [this] { check_leaders_and_cancellations(); });
}

void Simulation::check_waiting_jobs() {
  queue_.after(waiting_check_interval, [this] { check_waiting_jobs(); });
  for (const auto& job : invariants_.accepted()) {
    const bool waits = invariants_.is_waiting_within_quota(job);
    invariants_.check_waiting_job(
        job, waits ? fleet_.machine_with_capacity_for(*invariants_.find_job(job)) : "");
  }
}

}  // namespace poppystile::simulation
