/// \file
/// Simulated cloud, after PROTOCOL: capacity, boots, lagging lists, repeated requests.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "protocol/cloud_messages.hpp"
#include "simulation/event_queue.hpp"
#include "transport/http.hpp"

namespace poppystile::simulation {

/// A machine between its rental and its release.
struct RentedMachine {
  std::string id;
  std::string type;
  std::string zone;
  bool spot = false;
  bool booted = false;
  bool failed = false;
  double rented_at = 0;  ///< simulated time
};

/// The cloud's interface for renting, releasing and listing machines.
class Cloud {
 public:
  using OnResponse = std::function<void(transport::HttpResponse)>;

  /// Lists show the machines as they were between half and twice the lag ago.
  Cloud(EventQueue& queue, Seconds list_lag) : queue_(queue), list_lag_s_(list_lag.count()) {}

  /// Offers so many machines of the type in each of its zones.
  void add_type(const protocol::MachineType& type, int count, int spot_count);
  /// Handles a request to the cloud's interface; `respond` runs once, at once.
  void handle(const transport::HttpRequest& request, const OnResponse& respond);
  /// While down, every request gets a 503.
  void set_down(bool down) { down_ = down; }
  /// This share of the machines rented from now on never boots.
  void set_boot_failures(double share) { boot_failure_share_ = share; }
  /// The machine fails. Lists show it as running for a while, and as failed from then on.
  void fail(const std::string& id);
  /// The cloud takes the machine back.
  void reclaim(const std::string& id) { remove(id); }
  /// What all machines together have been rented for, in seconds.
  double machine_seconds() const;

  std::function<void(const RentedMachine&, const protocol::MachineType&)> on_machine_booted;
  std::function<void(const std::string&)> on_machine_removed;  ///< released, reclaimed or failed

 private:
  void rent(const std::string& body, const OnResponse& respond);
  std::string add_machine(const std::string& type, const std::string& zone, bool spot);
  void schedule_boot(const std::string& id, const protocol::MachineType& type);
  void release(const std::string& body, const OnResponse& respond);
  void list(const std::string& target, const OnResponse& respond);
  void remove(const std::string& id);
  void record_snapshot();

  EventQueue& queue_;
  double list_lag_s_;
  bool down_ = false;
  double boot_failure_share_ = 0;
  std::vector<protocol::MachineType> types_;
  std::map<std::string, int> available_;                 // by type, zone and kind
  std::map<std::string, std::string> rental_responses_;  // by the request's name
  std::map<std::string, RentedMachine> machines_;
  std::deque<std::pair<double, std::vector<RentedMachine>>> snapshots_;  // by simulated time
  double released_machine_seconds_ = 0;
  int next_machine_ = 0;
};

}  // namespace poppystile::simulation
