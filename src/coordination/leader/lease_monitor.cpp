#include "coordination/leader/lease_monitor.hpp"

#include <utility>

#include "constants.hpp"
#include "coordination/election/lease_time.hpp"

namespace poppystile::coordination {

using cluster::Machine;

LeaseMonitor::LeaseMonitor(const transport::Runtime& runtime, cluster::ClusterState& cluster_state,
                           const LeaderElection& election, TaskReconciler& reconciler,
                           const MachineHealth& health, const protocol::Settings& settings,
                           std::function<void()> request_plan)
    : runtime_(runtime),
      cluster_state_(cluster_state),
      election_(election),
      reconciler_(reconciler),
      health_(health),
      settings_(settings),
      request_plan_(std::move(request_plan)) {}

void LeaseMonitor::check() {
  for (auto& [id, machine] : cluster_state_.machines) {
    if (machine.incarnation == 0) continue;  // Its worker has never sent a heartbeat.
    evict_if_former_leases_expired(machine);
    machine.is_overdue = is_overdue(machine);
    expire_lease_if_due(machine);
  }
}

// Evicts the tasks of a machine that this leader has neither received a heartbeat from nor
// responded to, once every lease that a former leader extended has expired. That is within
// `cancel_timeout` of this controller's election, for the reason given at
// FailoverRecovery::wait_for_lease_expiry. The deadline counts from the start of the campaign; the
// lease margins here and in CancellationTracker::response_budget are together longer than a
// campaign, which the timeouts of its calls limit.
void LeaseMonitor::evict_if_former_leases_expired(Machine& machine) {
  const SteadyTime former_leases_expire_at =
      election_.won_campaign_started_at() + with_clock_drift(settings_.cancel_timeout);
  if (machine.has_reported || machine.has_been_answered || machine.placements.empty()) return;
  if (runtime_.now() <= former_leases_expire_at) return;
  reconciler_.evict_all(machine, "no heartbeat, and every former leader's leases have expired");
}

bool LeaseMonitor::is_overdue(const Machine& machine) const {
  return runtime_.now() - machine.last_heartbeat_at >
         constants::overdue_heartbeats * settings_.heartbeat_interval + constants::overdue_slack;
}

void LeaseMonitor::expire_lease_if_due(Machine& machine) {
  const Seconds lease = with_clock_drift(settings_.worker_lease);
  if (runtime_.now() - machine.last_response_at <= lease || machine.lease_expired) return;
  machine.lease_expired = true;
  request_plan_();
  // Only a worker that has seen this leader's token is certain to ignore other leaders' responses.
  if (machine.has_acknowledged_token) {
    health_.evaluate_incarnation(machine);
    reconciler_.evict_all(machine, "lease expired");
  }
  machine.has_reported = machine.has_acknowledged_token = false;
}

}  // namespace poppystile::coordination
