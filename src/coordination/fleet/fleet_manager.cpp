#include "coordination/fleet/fleet_manager.hpp"

#include "constants.hpp"
#include "planning/autoscaler/autoscaler.hpp"

namespace poppystile::coordination {

using cluster::Machine;

FleetManager::FleetManager(transport::Runtime& runtime, transport::HttpCaller& http,
                           KeyValueClient& key_value_client, SharedStateCache& shared_state,
                           LeaderElection& election, JournalWriter& journal,
                           const protocol::Settings& settings,
                           const protocol::Properties& properties)
    : runtime_(runtime),
      election_(election),
      settings_(settings),
      properties_(properties),
      cloud_(runtime, http, settings),
      catalog_updater_(runtime, cloud_, catalog_, key_value_client, shared_state, election,
                       settings),
      registry_(journal, catalog_),
      rental_log_(journal),
      releaser_(runtime, cloud_, registry_,
                [this](Machine& machine, const std::string& reason) {
                  on_machine_removed_(machine, reason);
                }),
      scale_out_(runtime, cloud_, rental_log_, registry_, settings),
      scale_in_(runtime, registry_, catalog_, releaser_, settings),
      inventory_(runtime, cloud_, registry_, releaser_, settings) {}

void FleetManager::begin_term(cluster::ClusterState& cluster_state,
                              const std::map<std::string, storage::RentalRecord>& rentals) {
  cloud_.abandon_calls();
  term_started_at_ = runtime_.now();
  registry_.begin_term(cluster_state);
  catalog_updater_.begin_term();
  rental_log_.begin_term(rentals);
  releaser_.begin_term();
  scale_in_.begin_term(term_started_at_);
  inventory_.begin_term(term_started_at_);
  demand_history_.clear();
}

void FleetManager::end_term() {
  cloud_.abandon_calls();
  registry_.end_term();
}

void FleetManager::run_pass() {
  // Neither the cloud nor a worker checks which controller releases a machine. While this
  // controller was paused or cut off from the state service, a new leader may have placed tasks on
  // the machine, so nothing is released without a valid lease.
  if (!registry_.is_active() || !election_.has_valid_lease()) return;
  catalog_updater_.refresh_if_due();
  if (catalog_.empty()) return;
  scale_out_.request_due_rentals();
  const SteadyTime now = runtime_.now();
  if (now - last_capacity_pass_at_ >= constants::capacity_pass_interval) {
    last_capacity_pass_at_ = now;
    scale_in_.release_unusable();
    reconcile_capacity();
  }
  releaser_.send_batch_if_due();
  inventory_.fetch_page_if_due();
}

void FleetManager::reconcile_capacity() {
  scale_out_.withdraw_refused_rentals();
  const SteadyTime now = runtime_.now();
  const planning::ScalingPlan plan =
      planning::plan_scaling(registry_.cluster_state(), scaling_context(now));
  scale_out_.record_rentals(plan.rent, election_.token());
  demand_history_.record(now, plan.demand_cpus);
  scale_in_.apply_releases(plan);
  // In the first `idle_capacity_retention` of a term, the peak of the demand history covers less
  // than its window and would make needed machines appear idle.
  if (now - term_started_at_ >= properties_.idle_capacity_retention) scale_in_.apply_drains(plan);
}

planning::ScalingContext FleetManager::scaling_context(SteadyTime now) {
  planning::ScalingContext context;
  context.wall_now = runtime_.wall_now();
  context.types = &catalog_.types();
  context.teams = &settings_.teams;
  context.peak_cpus = demand_history_.peak(now, properties_.idle_capacity_retention);
  context.service_reserve = properties_.service_reserve;
  context.refused = scale_out_.refused_offers();
  context.pending = scale_out_.pending_orders();
  return context;
}

}  // namespace poppystile::coordination
