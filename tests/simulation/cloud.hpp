/// \file
/// Simulated cloud, as PROTOCOL specifies it: limited capacity, boot times, machine lists that lag
/// behind, and repeated requests.
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

/// A machine that has been rented and not yet released.
struct RentedMachine {
  std::string id;
  std::string type;
  std::string zone;
  bool spot = false;
  bool booted = false;
  bool failed = false;
  /// Simulated time, in seconds.
  double rented_at = 0;
};

/// The cloud's interface for renting, releasing and listing machines.
class Cloud {
 public:
  using OnResponse = std::function<void(transport::HttpResponse)>;

  /// A list shows the state of the machines at a random time between half `list_lag` and twice
  /// `list_lag` ago.
  Cloud(EventQueue& queue, Seconds list_lag) : queue_(queue), list_lag_s_(list_lag.count()) {}

  /// Offers `count` ordinary and `spot_count` spot machines of the type in each of its zones.
  void add_type(const protocol::MachineType& type, int count, int spot_count);
  /// Handles a request to the cloud's interface. Calls `respond` once, before it returns.
  void handle(const transport::HttpRequest& request, const OnResponse& respond);
  /// While the cloud is down, it responds to every request with 503.
  void set_down(bool down) { down_ = down; }
  /// Each machine that is rented from now on fails to boot with the probability `share`.
  void set_boot_failures(double share) { boot_failure_share_ = share; }
  /// Makes the machine fail. Lists show it as running for 30 s more (and their lag), and then as
  /// failed.
  void fail(const std::string& id);
  /// Takes the machine back from the cluster without a notice.
  void reclaim(const std::string& id) { remove(id); }
  /// The sum of the rental times of all machines, in seconds; a failed machine counts until the
  /// cloud detects the failure.
  double machine_seconds() const;

  /// Runs when a rented machine has booted.
  std::function<void(const RentedMachine&, const protocol::MachineType&)> on_machine_booted;
  /// Runs with the id of a machine that has been released, has been reclaimed or has failed.
  std::function<void(const std::string&)> on_machine_removed;

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
  std::map<std::string, int> available_;                 // by pool_name()
  std::map<std::string, std::string> rental_responses_;  // by name of the request
  std::map<std::string, RentedMachine> machines_;
  std::deque<std::pair<double, std::vector<RentedMachine>>> snapshots_;  // by simulated time
  double released_machine_seconds_ = 0;
  int next_machine_ = 0;
};

}  // namespace poppystile::simulation
