// Dealings with the cloud: the catalog, rentals by recorded intent, releases, lists.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "cluster/cluster_state.hpp"
#include "coordination/election/leader_election.hpp"
#include "coordination/journal/journal_writer.hpp"
#include "coordination/state/shared_state_cache.hpp"
#include "planning/autoscaler/autoscaler.hpp"
#include "protocol/properties.hpp"
#include "protocol/settings.hpp"
#include "transport/http.hpp"

namespace poppystile::coordination {

// A rental on its way: recorded, then asked for under its name until there is an answer.
struct Rental {
  storage::RentalRecord record;
  std::uint64_t log_position = 0;  // asked for once the journal has landed this far
  bool asking = false;
  bool asked = false;  // so it may be carried out late
  SteadyTime next_request_at;
};

class FleetManager {
 public:
  FleetManager(transport::Runtime& runtime, transport::HttpCaller& http,
               KeyValueClient& key_value_client, SharedStateCache& shared_state,
               LeaderElection& election, JournalWriter& journal, const protocol::Settings& settings,
               const protocol::Properties& properties);

  void begin_term(cluster::ClusterState& cluster_state,
                  const std::map<std::string, storage::RentalRecord>& rentals);
  void end_term();
  void run_pass();  // called often while leading
  // What was asked for and is not settled yet.
  std::map<std::string, storage::RentalRecord> rental_records() const;
  bool released(const std::string& machine) const { return released_.contains(machine); }
  const protocol::MachineType* type(const std::string& name) const;
  // A machine's fields that follow from its type.
  bool apply_machine_type(cluster::Machine& machine) const;
  // Takes a machine into the model and the journal; nothing when its type is unknown.
  cluster::Machine* admit(cluster::Machine machine);
  // Tells that everything on a machine is proven gone.
  void on_machine_removed(std::function<void(cluster::Machine&, const std::string&)> handler) {
    on_machine_removed_ = std::move(handler);
  }

 private:
  void call(transport::HttpRequest request, std::function<void(transport::HttpResponse)> done);
  bool take_call_budget();
  void fetch_catalog();
  void record_catalog(const std::vector<protocol::MachineType>& types);
  void request_rental(const std::string& name, Rental& rental);
  void back_off_offer(const planning::Offer& offer);
  void settle_rental(const std::string& name);
  void on_rented(const std::string& name, const std::string& body);
  void release_overdue();
  void reconcile_capacity();
  void release_unrequested_refused();
  void release(const std::vector<std::string>& machines);
  void release_due();
  bool list_due(SteadyTime now) const;
  void fetch_machine_list();  // the next page
  void reconcile_listed(const protocol::ListedMachine& machine);

  transport::Runtime& runtime_;
  transport::HttpCaller& http_;
  KeyValueClient& key_value_client_;
  SharedStateCache& shared_state_;
  LeaderElection& election_;
  JournalWriter& journal_;
  const protocol::Settings& settings_;
  const protocol::Properties& properties_;
  cluster::ClusterState* cluster_state_ = nullptr;
  std::vector<protocol::MachineType> types_;  // with current prices; the directory's until then
  std::map<std::string, Rental> rentals_;
  std::set<std::string> to_release_;
  std::set<std::string> released_;
  struct Refusal {
    SteadyTime until;
    Seconds pause{0};
  };
  std::map<planning::Offer, Refusal> refusals_;
  std::deque<std::pair<SteadyTime, std::int64_t>>
      demands_;  // seen lately: when, and how many cores
  TokenBucket budget_;
  std::uint64_t names_ = 0;
  std::uint64_t term_ = 0;
  SteadyTime term_started_at_;
  SteadyTime catalog_fetched_at_;
  SteadyTime last_list_at_;
  std::string list_after_;  // the page to be read next begins after this machine
  SteadyTime last_capacity_pass_at_;
  SteadyTime next_release_at_;
  bool listing_ = false;
  bool releasing_ = false;
  bool catalog_busy_ = false;
  std::function<void(cluster::Machine&, const std::string&)> on_machine_removed_;
};

}  // namespace poppystile::coordination
