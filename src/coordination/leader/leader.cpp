#include "coordination/leader/leader.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "cluster/snapshot.hpp"
#include "constants.hpp"
#include "storage/journal_entry.hpp"

namespace poppystile::coordination {

using cluster::Machine;
using transport::Respond;

Leader::Leader(transport::Runtime& runtime, SharedStateCache& shared_state,
               KeyValueClient& key_value_client, LeaderElection& election, JournalWriter& journal,
               FleetManager& fleet, const protocol::Settings& settings,
               const protocol::Properties& properties)
    : runtime_(runtime),
      key_value_client_(key_value_client),
      election_(election),
      journal_(journal),
      fleet_(fleet),
      settings_(settings),
      gangs_(settings),
      stopper_(cluster_state_, gangs_),
      health_(runtime, cluster_state_, stopper_, settings),
      finalizer_(runtime, cluster_state_, shared_state, key_value_client, election, settings),
      scheduling_(runtime, cluster_state_, election, journal, gangs_, stopper_, settings,
                  properties),
      jobs_(cluster_state_, shared_state, stopper_, finalizer_,
            [this] { scheduling_.request_plan(); }),
      reconciler_(runtime, cluster_state_, journal, finalizer_, health_, settings,
                  [this] { scheduling_.request_plan(); }),
      heartbeats_(runtime, cluster_state_, election, journal, fleet, reconciler_, health_, stopper_,
                  settings, [this] { scheduling_.request_plan(); }),
      responder_(runtime, cluster_state_, election, journal),
      leases_(runtime, cluster_state_, election, reconciler_, health_, settings,
              [this] { scheduling_.request_plan(); }),
      rebalancer_(runtime, cluster_state_, settings),
      recovery_(runtime, shared_state, election, journal, fleet, cluster_state_, jobs_, settings,
                [this] { on_recovered(); }) {
  election_.on_elected([this] { on_elected(); });
  election_.on_deposed([this] { on_deposed(); });
  shared_state.on_job([this](const std::string& id) {
    if (ready_) jobs_.on_changed(id);
  });
  journal_.on_committed([this] { responder_.send_due(); });
  journal_.on_snapshot([this] {
    return cluster::snapshot_entries(cluster_state_, fleet_.rental_records(),
                                     journal_.entry_limits());
  });
  fleet_.on_machine_removed(
      [this](Machine& machine, const std::string& reason) { on_machine_removed(machine, reason); });
}

void Leader::start() { tick(); }

// --- term ---

void Leader::on_elected() {
  scheduling_.begin_term(election_.token());
  key_value_client_.set_share(constants::leader_rate_share);
  recovery_.begin();
}

void Leader::on_recovered() {
  ready_ = true;
  scheduling_.request_plan();
  for (auto& [id, job] : cluster_state_.jobs) jobs_.apply_final_state(id, job);
  spdlog::info("cluster state rebuilt token={} jobs={} machines={}", election_.token(),
               cluster_state_.jobs.size(), cluster_state_.machines.size());
}

void Leader::on_deposed() {
  recovery_.end_term();
  ready_ = false;
  key_value_client_.set_share(constants::follower_rate_share);
  fleet_.end_term();
  journal_.end_term();
  finalizer_.reset();
  responder_.redirect_all();
  cluster_state_ = {};
}

// --- heartbeats and machines ---

void Leader::handle_heartbeat(const protocol::Heartbeat& heartbeat, Respond respond) {
  const auto respond_without_commands = [&] {
    respond({200, protocol::encode_commands(election_.token(), {})});
  };
  if (heartbeat.token > election_.token()) {
    election_.step_down("a worker reported a higher fencing token");
    return respond({421, protocol::encode_redirect("")});
  }
  if (recovery_.is_waiting_for_lease_expiry())
    return respond({503, protocol::encode_error("waiting for every lease to end")});
  if (!ready_) return respond_without_commands();
  Machine* machine = heartbeats_.find_or_adopt_machine(heartbeat);
  if (machine == nullptr || !HeartbeatHandler::is_newer(heartbeat, *machine))
    return respond_without_commands();
  std::vector<protocol::Command> commands = heartbeats_.process(*machine, heartbeat);
  responder_.respond(*machine, heartbeat, std::move(commands), scheduling_.may_place_on(*machine),
                     std::move(respond));
}

std::size_t Leader::responsive_machine_count() const {
  return static_cast<std::size_t>(std::count_if(
      cluster_state_.machines.begin(), cluster_state_.machines.end(),
      [](const auto& each) { return each.second.has_reported && !each.second.lease_expired; }));
}

void Leader::on_machine_removed(Machine& machine, const std::string& reason) {
  const std::string id = machine.id;
  reconciler_.evict_all(machine, reason);
  responder_.drop(id);
  journal_.append(storage::MachineRemoved{id});
  cluster_state_.machines.erase(id);
}

// --- passes ---

void Leader::tick() {
  runtime_.after(constants::leader_tick, [this] { tick(); });
  if (!election_.is_leader() || !ready_) return;
  run_fleet_passes();
  if (scheduling_.run_if_due()) responder_.on_planned();
  journal_.pump();
  finalizer_.pump();
  if (responder_.has_pending()) responder_.send_due();
}

void Leader::run_fleet_passes() {
  const SteadyTime now = runtime_.now();
  if (now - last_lease_check_at_ < constants::lease_check_interval) return;
  last_lease_check_at_ = now;
  leases_.check();
  scheduling_.check_jobs();
  fleet_.run_pass();
  rebalancer_.run_pass();
  check_fleet_size();
}

// Logs an error once if the socket limit allows fewer incoming connections than there are machines.
void Leader::check_fleet_size() {
  const double connections = settings_.sockets * constants::server_socket_share;
  const auto machines = static_cast<double>(cluster_state_.machines.size());
  if (machines <= connections || std::exchange(warned_of_fleet_size_, true)) return;
  spdlog::error(
      "socket limit too low for the fleet sockets={} incoming_connections={:.0f} machines={}",
      settings_.sockets, connections, machines);
}

}  // namespace poppystile::coordination
