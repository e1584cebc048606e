// Stand-in for the state service, after PROTOCOL: revisions, conditions, grants, watches, limits.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "protocol/json.hpp"
#include "simulation/event_queue.hpp"
#include "transport/http.hpp"

namespace poppystile::simulation {

class StateService {
 public:
  using Reply = std::function<void(transport::HttpResponse)>;
  StateService(EventQueue& queue, double rps, double write_rps, int txn_ops);

  void handle(const transport::HttpRequest& request, const Reply& reply);
  void set_down(bool down);
  // From now on; what is stored stays.
  void set_limits(double write_rps, int txn_ops, double value_kb);
  bool has(const std::string& key) const { return items_.contains(key); }
  std::uint64_t refused() const { return refused_; }
  // Requests that were answered with 400.
  std::uint64_t invalid() const { return invalid_; }
  std::uint64_t requests() const { return requests_; }
  std::uint64_t changes() const { return changes_; }

 private:
  using Json = protocol::Json;
  struct Item {
    Json value;
    std::uint64_t version = 0;
    std::uint64_t lease = 0;
  };
  struct Change {
    std::string key;
    std::optional<Json> value;
    std::uint64_t version = 0;
  };
  struct Lease {
    double ttl_s = 0;
    double until = 0;
  };
  struct Watch {
    std::string prefix;
    std::uint64_t from = 0;
    Reply reply;
    bool answered = false;
  };

  bool spend(double& left, double& at, double rate, double amount);
  void compare_and_swap(const std::string& body, const Reply& reply);
  bool record_too_large(const std::string& body, const Json& when, const Json& apply) const;
  void put(const std::string& key, const Json& value, std::uint64_t lease);
  void erase(const std::string& key);
  void list(const std::map<std::string, std::string>& query, const Reply& reply);
  void watch(const std::map<std::string, std::string>& query, const Reply& reply);
  bool answer(Watch& watch, bool even_empty);
  void grant(const transport::HttpRequest& request, const Reply& reply);
  void check_lease(std::uint64_t id);
  void wake();

  EventQueue& queue_;
  double rps_, write_rps_;
  int txn_ops_;
  std::size_t max_value_bytes_ = std::size_t{8} * 1024;
  std::uint64_t invalid_ = 0;
  double requests_left_, requests_at_ = 0;
  double writes_left_, writes_at_ = 0;
  bool down_ = false;
  std::uint64_t revision_ = 0;
  std::uint64_t leases_made_ = 0;
  std::uint64_t refused_ = 0, requests_ = 0, changes_ = 0;
  std::map<std::string, Item> items_;
  std::map<std::uint64_t, Lease> leases_;
  std::deque<Change> log_;
  std::vector<std::shared_ptr<Watch>> watches_;
};

// "path?a=1&b=2"
std::map<std::string, std::string> query_of(const std::string& target);

}  // namespace poppystile::simulation
