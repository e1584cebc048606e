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
  double ask_at_s = 0;
};

class CloudDesk {
 public:
  CloudDesk(transport::Runtime& runtime, transport::HttpCaller& http, StateStore& store,
            Directory& directory, Leadership& leadership, JournalDesk& journal,
            const protocol::Settings& settings, const protocol::Properties& properties);

  void begin(cluster::Model& model, const std::map<std::string, storage::RentalRecord>& rentals);
  void end();
  void pass();  // called often while leading
  // What was asked for and is not settled yet.
  std::map<std::string, storage::RentalRecord> rental_records() const;
  bool released(const std::string& machine) const { return released_.contains(machine); }
  const protocol::MachineType* type(const std::string& name) const;
  // A machine's fields that follow from its type.
  bool fill_in(cluster::Machine& machine) const;
  // Takes a machine into the model and the journal; nothing when its type is unknown.
  cluster::Machine* admit(cluster::Machine machine);
  // Tells that everything on a machine is proven gone.
  void on_gone(std::function<void(cluster::Machine&, const std::string&)> handler) {
    on_gone_ = std::move(handler);
  }

 private:
  void call(transport::HttpRequest request, std::function<void(transport::HttpResponse)> done);
  bool affordable();
  void fetch_catalog();
  void record_catalog(const std::vector<protocol::MachineType>& types);
  void request_rental(const std::string& name, Rental& hire);
  void refuse(const planning::Offer& offer);
  void settle(const std::string& name);
  void hired(const std::string& name, const std::string& body);
  void release_lost();
  void size_fleet();
  void drop_hopeless();
  void release(const std::vector<std::string>& machines);
  void release_due();
  bool list_due(double now_s) const;
  void read_list();  // the next page
  void listed(const protocol::ListedMachine& machine);

  transport::Runtime& runtime_;
  transport::HttpCaller& http_;
  StateStore& store_;
  Directory& directory_;
  Leadership& leadership_;
  JournalDesk& journal_;
  const protocol::Settings& settings_;
  const protocol::Properties& properties_;
  cluster::Model* model_ = nullptr;
  std::vector<protocol::MachineType> types_;  // with current prices; the directory's until then
  std::map<std::string, Rental> rentals_;
  std::set<std::string> to_release_;
  std::set<std::string> released_;
  struct Refusal {
    double until_s = 0;
    double pause_s = 0;
  };
  std::map<planning::Offer, Refusal> refusals_;
  std::deque<std::pair<double, std::int64_t>> demands_;  // seen lately: when, and how many cores
  RateBudget budget_;
  std::uint64_t names_ = 0;
  std::uint64_t term_ = 0;
  double began_s_ = 0;
  double catalog_s_ = 0;
  double list_s_ = 0;
  std::string list_after_;  // the page to be read next begins after this machine
  double sized_s_ = 0;
  double release_s_ = 0;
  bool listing_ = false;
  bool releasing_ = false;
  bool catalog_busy_ = false;
  std::function<void(cluster::Machine&, const std::string&)> on_gone_;
};

}  // namespace poppystile::coordination
