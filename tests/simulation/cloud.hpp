// Stand-in for the cloud, after PROTOCOL: capacity, boots, lagging lists, repeated requests.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "protocol/cloud_messages.hpp"
#include "simulation/event_queue.hpp"
#include "transport/http.hpp"

namespace poppystile::simulation {

struct Rented {
  std::string id;
  std::string type;
  std::string zone;
  bool spot = false;
  bool up = false;
  bool failed = false;
  double at = 0;
};

class Cloud {
 public:
  using Reply = std::function<void(transport::HttpResponse)>;
  Cloud(EventQueue& queue, double list_lag_s) : queue_(queue), list_lag_s_(list_lag_s) {}

  void add_type(const protocol::MachineType& type, int count, int spot_count);
  void handle(const transport::HttpRequest& request, const Reply& reply);
  void set_down(bool down) { down_ = down; }
  void set_boot_failures(double share) { boot_failures_ = share; }
  void fail(const std::string& id);  // the machine dies
  void take(const std::string& id);  // the cloud takes it back
  const std::map<std::string, Rented>& machines() const { return machines_; }
  double machine_seconds() const;

  std::function<void(const Rented&, const protocol::MachineType&)> on_up;
  std::function<void(const std::string&)> on_machine_removed;

 private:
  void hire(const std::string& body, const Reply& reply);
  void release(const std::string& body, const Reply& reply);
  void list(const std::string& target, const Reply& reply);
  void remove(const std::string& id);
  void remember();
  std::string snapshot() const;

  EventQueue& queue_;
  double list_lag_s_;
  bool down_ = false;
  double boot_failures_ = 0;
  std::vector<protocol::MachineType> types_;
  std::map<std::string, int> left_;             // "type/zone/spot"
  std::map<std::string, std::string> answers_;  // by request name
  std::map<std::string, Rented> machines_;
  std::deque<std::pair<double, std::vector<Rented>>> past_;
  double used_s_ = 0;
  int made_ = 0;
};

}  // namespace poppystile::simulation
