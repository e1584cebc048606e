#include "coordination/fleet/fleet_manager.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <utility>

#include "constants.hpp"

namespace poppystile::coordination {

using cluster::Machine;
using protocol::MachineType;
using transport::HttpResponse;

FleetManager::FleetManager(transport::Runtime& runtime, transport::HttpCaller& http,
                           KeyValueClient& key_value_client, SharedStateCache& shared_state,
                           LeaderElection& election, JournalWriter& journal,
                           const protocol::Settings& settings,
                           const protocol::Properties& properties)
    : runtime_(runtime),
      http_(http),
      key_value_client_(key_value_client),
      shared_state_(shared_state),
      election_(election),
      journal_(journal),
      settings_(settings),
      properties_(properties),
      budget_(settings.cloud_rps, runtime.now()) {
  budget_.set_share(constants::cloud_rate_share);
}

void FleetManager::begin_term(cluster::ClusterState& cluster_state,
                              const std::map<std::string, storage::RentalRecord>& rentals) {
  ++term_;
  cluster_state_ = &cluster_state;
  term_started_at_ = runtime_.now();
  rentals_.clear();
  to_release_.clear();
  released_.clear();
  demands_.clear();
  listing_ = releasing_ = catalog_busy_ = false;
  list_after_.clear();
  if (types_.empty()) types_ = shared_state_.types();
  for (const auto& [name, record] : rentals) {
    Rental rental{record};
    rental.asked = true;  // by a former leader, for all we know
    rentals_[name] = rental;
  }
}

std::map<std::string, storage::RentalRecord> FleetManager::rental_records() const {
  std::map<std::string, storage::RentalRecord> out;
  for (const auto& [name, rental] : rentals_) out[name] = rental.record;
  return out;
}

void FleetManager::end_term() {
  ++term_;
  cluster_state_ = nullptr;
}

const MachineType* FleetManager::type(const std::string& name) const {
  for (const auto& each : types_)
    if (each.name == name) return &each;
  return nullptr;
}

bool FleetManager::apply_machine_type(Machine& machine) const {
  const MachineType* known = type(machine.type);
  if (known == nullptr) return false;
  machine.size = known->size;
  machine.fetch_gb_per_s = known->fetch_gb_per_s;
  machine.cache_gb = known->cache_gb;
  machine.boot_time = known->boot_time;
  return true;
}

Machine* FleetManager::admit(Machine machine) {
  if (!apply_machine_type(machine)) return nullptr;
  journal_.append(storage::MachineRegistered{machine.id, machine.type, machine.zone, machine.spot,
                                             machine.incarnation, machine.rented_at});
  const std::string id = machine.id;
  return &cluster_state_->machines.insert_or_assign(id, std::move(machine)).first->second;
}

bool FleetManager::take_call_budget() { return budget_.take(1, false, runtime_.now()); }

void FleetManager::call(transport::HttpRequest request, std::function<void(HttpResponse)> done) {
  const std::uint64_t term = term_;
  http_.call(settings_.cloud, std::move(request), constants::cloud_timeout,
             [this, term, done = std::move(done)](HttpResponse response) {
               if (term == term_ && cluster_state_ != nullptr) done(std::move(response));
             });
}

void FleetManager::run_pass() {
  // Neither the cloud nor the worker asks who releases a machine: one that stood still, or lost the
  // state service, may have a successor that has given the machine new work.
  if (cluster_state_ == nullptr || !election_.lease_holds()) return;
  const SteadyTime now = runtime_.now();
  if (!catalog_busy_ &&
      (catalog_fetched_at_ == SteadyTime{} ||
       now - catalog_fetched_at_ > constants::catalog_refresh_interval) &&
      take_call_budget())
    fetch_catalog();
  if (types_.empty()) return;
  for (auto& [name, rental] : rentals_)
    if (journal_.is_durable(rental.log_position) && !rental.asking &&
        rental.next_request_at <= now && take_call_budget())
      request_rental(name, rental);
  if (now - last_capacity_pass_at_ >= constants::capacity_pass_interval) {
    last_capacity_pass_at_ = now;
    release_overdue();
    reconcile_capacity();
  }
  release_due();
  if (list_due(now) && take_call_budget()) fetch_machine_list();
}

// --- catalog ---

void FleetManager::fetch_catalog() {
  catalog_busy_ = true;
  call({"GET", protocol::catalog_path, ""}, [this](const HttpResponse& response) {
    catalog_busy_ = false;
    if (response.status != 200) return;
    try {
      types_ = protocol::parse_catalog(protocol::parse_object(response.body));
    } catch (const protocol::DecodeError& problem) {
      return spdlog::info("catalog malformed why=\"{}\"", problem.what());
    }
    catalog_fetched_at_ = runtime_.now();
    record_catalog(types_);
  });
}

// Recorded once, so that a node that starts while the cloud is down can still judge submissions.
void FleetManager::record_catalog(const std::vector<MachineType>& types) {
  if (shared_state_.catalog_version() != 0) return;
  const protocol::Json value = storage::encode_catalog(types);
  if (value.dump().size() > settings_.state_limits.max_value_bytes())
    return spdlog::error("catalog too large to be recorded types={}", types.size());
  protocol::Transaction transaction;
  transaction.conditions = {election_.fence(), {storage::keys::catalog, 0}};
  transaction.changes = {{storage::keys::catalog, value.dump(), 0}};
  key_value_client_.compare_and_swap(
      transaction, RequestPriority::user, [this, value](const TransactionResult& result) {
        if (result.status == CallStatus::ok)
          return shared_state_.apply_response(storage::keys::catalog, value, result.revision);
        catalog_fetched_at_ = {};  // asked for and offered again
      });
}

// --- rentals ---

void FleetManager::request_rental(const std::string& name, Rental& rental) {
  rental.asking = rental.asked = true;
  const auto& want = rental.record;
  call({"POST", protocol::rentals_path,
        protocol::encode_rental(name, want.type, want.zone, want.spot, want.count)},
       [this, name](HttpResponse response) {
         const auto it = rentals_.find(name);
         if (it == rentals_.end()) return;
         Rental& asked = it->second;
         asked.asking = false;
         asked.next_request_at = runtime_.now() + constants::rental_retry_pause;
         if (response.status == 200) return on_rented(name, response.body);
         const bool refused =
             response.status == 400 ||
             (response.status == 503 && response.body.find("no capacity") != std::string::npos);
         if (!refused) return;
         const auto& record = asked.record;
         spdlog::info("rental refused name={} type={} zone={} spot={} status={}", name, record.type,
                      record.zone, record.spot, response.status);
         back_off_offer({record.type, record.zone, record.spot});
         settle_rental(name);
       });
}

void FleetManager::back_off_offer(const planning::Offer& offer) {
  Seconds& pause = refusals_[offer].pause;
  pause =
      std::clamp(2 * pause, constants::initial_no_capacity_pause, constants::max_no_capacity_pause);
  refusals_[offer].until = runtime_.now() + pause;
}

void FleetManager::settle_rental(const std::string& name) {
  rentals_.erase(name);
  journal_.append(storage::RentalSettled{name});
}

void FleetManager::on_rented(const std::string& name, const std::string& body) {
  const storage::RentalRecord record = rentals_[name].record;
  std::vector<std::string> ids;
  try {
    ids = protocol::parse_rented(body);
  } catch (const protocol::DecodeError& problem) {
    return spdlog::info("rental answer malformed name={} why=\"{}\"", name, problem.what());
  }
  spdlog::info("rented name={} type={} zone={} spot={} asked={} got={}", name, record.type,
               record.zone, record.spot, record.count, ids.size());
  const planning::Offer offer{record.type, record.zone, record.spot};
  if (!ids.empty()) refusals_.erase(offer);
  if (static_cast<int>(ids.size()) < record.count) back_off_offer(offer);
  for (const auto& id : ids) {
    if (cluster_state_->machines.contains(id) || released_.contains(id)) continue;
    Machine machine;
    machine.id = id;
    machine.type = record.type;
    machine.zone = record.zone;
    machine.spot = record.spot;
    machine.rented_at = runtime_.wall_now();
    admit(std::move(machine));
  }
  // After the machines, so that no reader of the journal ever misses both.
  settle_rental(name);
}

void FleetManager::reconcile_capacity() {
  release_unrequested_refused();
  const SteadyTime now = runtime_.now();
  planning::ScalingContext context;
  context.wall_now = runtime_.wall_now();
  context.types = &types_;
  context.teams = &settings_.teams;
  while (!demands_.empty() && demands_.front().first < now - properties_.idle_keep)
    demands_.pop_front();
  for (const auto& [at, cpus] : demands_) context.peak_cpus = std::max(context.peak_cpus, cpus);
  context.service_reserve = properties_.service_reserve;
  for (const auto& [offer, refusal] : refusals_)
    if (refusal.until > now) context.refused.insert(offer);
  for (const auto& [name, rental] : rentals_)
    context.pending.push_back(
        {{rental.record.type, rental.record.zone, rental.record.spot}, rental.record.count});
  const planning::ScalingPlan plan = planning::plan_scaling(*cluster_state_, context);
  // Calls are few: what cannot be asked for soon is not fixed in a request yet, so that it grows
  // together with what is wanted by then.
  const auto most = static_cast<std::size_t>(std::ceil(settings_.cloud_rps));
  for (const auto& want : plan.rent) {
    if (rentals_.size() >= most) break;
    // The token makes the name this leader's own: it is never used again.
    const std::string name =
        "h-" + std::to_string(election_.token()) + "-" + std::to_string(++names_);
    Rental rental{{want.offer.type, want.offer.zone, want.offer.spot, want.count}};
    // The intent is written before the request is made.
    rental.log_position = journal_.append(storage::RentalRequested{name, rental.record});
    rentals_[name] = rental;
  }
  demands_.emplace_back(now, plan.demand_cpus);
  for (const auto& id : plan.release) {
    cluster_state_->machines.at(id).releasing = true;
    to_release_.insert(id);
  }
  for (const auto& id : plan.uncordon) cluster_state_->machines.at(id).draining = false;
  // Until demand has been seen for a while nobody knows what is too much.
  if (now - term_started_at_ < properties_.idle_keep) return;
  for (const auto& id : plan.drain) {
    spdlog::debug("machine drains id={}", id);
    cluster_state_->machines.at(id).draining = true;
  }
}

// What nobody has asked for yet and has been refused under another name meanwhile.
void FleetManager::release_unrequested_refused() {
  std::vector<std::string> hopeless;
  for (const auto& [name, rental] : rentals_) {
    const auto refusal =
        refusals_.find({rental.record.type, rental.record.zone, rental.record.spot});
    if (!rental.asked && refusal != refusals_.end() && refusal->second.until > runtime_.now())
      hopeless.push_back(name);
  }
  for (const auto& name : hopeless) settle_rental(name);
}

// --- releases ---

// Machines that never came up, fell silent for good, or fail everything.
void FleetManager::release_overdue() {
  const SteadyTime now = runtime_.now();
  for (auto& [id, machine] : cluster_state_->machines) {
    if (machine.releasing) continue;
    std::string why;
    const Seconds silent = now - std::max(machine.last_response_at, term_started_at_);
    const MachineType* known = type(machine.type);
    const Seconds boot = known == nullptr ? Seconds{0} : known->boot_time;
    if (machine.incarnation == 0) {
      const Seconds age = runtime_.wall_now() - machine.rented_at;
      if (age > boot * constants::boot_timeout_factor + constants::boot_timeout_floor)
        why = "never came up";
    } else if (silent > settings_.worker_lease + constants::silence_grace) {
      why = "silent";
    } else if (machine.has_reported &&
               (machine.is_unresponsive || !machine.has_acknowledged_token) &&
               now - machine.unresponsive_since >
                   constants::unresponsive_leases_before_release * settings_.worker_lease) {
      why = "does not hear us";
    } else if (machine.quarantined && machine.placements.empty()) {
      why = "quarantined";
    }
    if (why.empty()) continue;
    spdlog::info("machine given back id={} why=\"{}\"", id, why);
    machine.releasing = true;
    to_release_.insert(id);
  }
}

void FleetManager::release_due() {
  const SteadyTime now = runtime_.now();
  if (releasing_ || to_release_.empty() || now < next_release_at_ || !take_call_budget()) return;
  std::vector<std::string> batch;
  for (const auto& id : to_release_) {
    batch.push_back(id);
    if (batch.size() == constants::max_released) break;
  }
  release(batch);
}

void FleetManager::release(const std::vector<std::string>& machines) {
  releasing_ = true;
  call({"POST", protocol::release_path, protocol::encode_release(machines)},
       [this, machines](const HttpResponse& response) {
         releasing_ = false;
         next_release_at_ = runtime_.now() +
                            (response.status == 200 ? Seconds{0} : constants::release_retry_pause);
         if (response.status != 200) return;
         for (const auto& id : machines) {
           to_release_.erase(id);
           released_.insert(id);
           const auto it = cluster_state_->machines.find(id);
           if (it == cluster_state_->machines.end()) continue;
           spdlog::info("machine released id={}", id);
           on_machine_removed_(it->second, "released");
         }
       });
}

// --- lists ---

// A large fleet has many pages. They are asked for one at a time, at a share of the calls that the
// cloud takes, so that rentals and releases are never crowded out.
bool FleetManager::list_due(SteadyTime now) const {
  const Seconds pause = list_after_.empty()
                            ? constants::list_interval
                            : Seconds{1 / (constants::list_call_share * settings_.cloud_rps)};
  return !listing_ && now - last_list_at_ >= std::min(pause, constants::list_interval);
}

void FleetManager::fetch_machine_list() {
  listing_ = true;
  call({"GET", protocol::list_path(list_after_), ""}, [this](const HttpResponse& response) {
    listing_ = false;
    last_list_at_ = runtime_.now();
    if (response.status != 200) return;
    protocol::MachineList list;
    try {
      list = protocol::parse_machine_list(response.body);
    } catch (const protocol::DecodeError& problem) {
      return spdlog::info("machine list malformed why=\"{}\"", problem.what());
    }
    for (const auto& each : list.machines) reconcile_listed(each);
    const bool more = list.more && !list.machines.empty();
    list_after_ = more ? list.machines.back().id : "";
  });
}

// A list lags and may be older than the one before: what it shows of a machine that is there is
// true at some time, what it does not show proves nothing. `failed` is final.
void FleetManager::reconcile_listed(const protocol::ListedMachine& machine) {
  if (released_.contains(machine.id)) return;
  auto it = cluster_state_->machines.find(machine.id);
  if (it == cluster_state_->machines.end()) {
    // A list as old as a former leader may show what that one has released since.
    if (runtime_.now() - term_started_at_ < 2 * settings_.list_lag + constants::lease_margin)
      return;
    Machine fresh;
    fresh.id = machine.id;
    fresh.type = machine.type;
    fresh.zone = machine.zone;
    fresh.spot = machine.spot;
    fresh.rented_at = runtime_.wall_now() - machine.age;
    if (admit(std::move(fresh)) == nullptr) return;
    spdlog::info("machine adopted from the list id={}", machine.id);
    it = cluster_state_->machines.find(machine.id);
  }
  if (machine.state == protocol::MachineState::failed && !it->second.releasing) {
    spdlog::info("machine failed id={}", machine.id);
    it->second.releasing = true;
    to_release_.insert(machine.id);
  }
}

}  // namespace poppystile::coordination
