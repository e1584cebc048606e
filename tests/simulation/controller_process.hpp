/// \file
/// One controller of the simulation: the real Controller over simulated time and network.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "coordination/controller.hpp"
#include "protocol/properties.hpp"
#include "protocol/settings.hpp"
#include "simulation/cloud.hpp"
#include "simulation/event_queue.hpp"
#include "simulation/network_faults.hpp"
#include "simulation/state_service.hpp"
#include "transport/event_loop.hpp"
#include "transport/http.hpp"
#include "transport/peer_connections.hpp"

namespace poppystile::simulation {

class ControllerCluster;

/// What every controller process of one simulation shares.
struct SimulatedNetwork {
  EventQueue& queue;
  const NetworkFaults& faults;
  StateService& state_service;
  Cloud& cloud;
};

/// The operating system process of one controller: it can be started, crashed, paused and
/// partitioned from the network. The object outlives crashes; the Controller does not.
class ControllerProcess : public transport::Runtime,
                          public transport::HttpCaller,
                          public transport::PeerTransport {
 public:
  /// Draws the clock's drift and offset; does not start the controller.
  ControllerProcess(const SimulatedNetwork& network, ControllerCluster& cluster,
                    protocol::Settings settings, int number);

  /// Starts the controller with an empty memory. It must not be running.
  void start();
  /// Ends the controller with all that waits for it; starts it again after `restart_after`.
  /// Does nothing if it is not running.
  void crash(Seconds restart_after);
  /// Pauses the process: clocks go on, but timers and messages wait until it resumes. Does
  /// nothing if it is paused or not running.
  void pause(Seconds duration);
  void set_partition(const NetworkPartition& partition) { partition_ = partition; }
  /// Ends the partition and delivers what was held back.
  void heal();

  int number() const { return number_; }
  const std::string& name() const { return settings_.name; }
  const std::string& zone() const { return settings_.zone; }
  const NetworkPartition& partition() const { return partition_; }
  bool is_running() const { return controller_ != nullptr; }
  bool is_paused() const { return paused_; }
  bool is_leader() const { return is_running() && controller_->is_leader(); }
  std::uint64_t token() const { return controller_->token(); }
  /// Releases of machines that it asked for while another led under a higher token.
  std::uint64_t stale_releases() const { return stale_releases_; }

  /// Runs `action`, the arrival of a message, now or when the process resumes.
  void deliver(std::function<void()> action);
  /// Keeps `action`, the arrival of a message, until the partition heals.
  void hold(std::function<void()> action) { held_.push_back(std::move(action)); }
  /// Passes a request to the controller; dropped without a response if it is not running.
  void handle(const transport::HttpRequest& request, transport::Respond respond);

  SteadyTime now() const override;
  WallTime wall_now() const override;
  void after(Seconds delay, std::function<void()> action) override;
  void call(const transport::Endpoint& to, transport::HttpRequest request, Seconds timeout,
            std::function<void(transport::HttpResponse)> done) override;
  void broadcast(const std::string& frame) override;
  void set_frame_handler(std::function<void(const std::string&)> handler) override;

 private:
  using OnResponse = std::function<void(const transport::HttpResponse&)>;
  enum class Service { state, cloud };

  bool intercept_state_call(const transport::HttpRequest& request, const OnResponse& on_response);
  void send(Service service, const transport::HttpRequest& request, const OnResponse& on_response);
  void return_response(Service service, bool is_watch, const transport::HttpResponse& response,
                       const OnResponse& on_response);
  void execute(Service service, const transport::HttpRequest& request,
               const OnResponse& respond) const;
  void receive_frame(const std::string& frame);

  SimulatedNetwork network_;
  ControllerCluster& cluster_;
  const protocol::Settings settings_;
  const protocol::Properties properties_;
  int number_;
  double clock_rate_;    // of the steady clock, against simulated time
  Seconds wall_offset_;  // of the wall clock
  NetworkPartition partition_;
  std::vector<std::function<void()>> held_;
  bool paused_ = false;
  std::vector<std::function<void()>> due_timers_, waiting_messages_;  // while paused
  std::uint64_t stale_releases_ = 0;
  std::shared_ptr<int> lifetime_;  // of the controller; callbacks hold it weakly
  std::function<void(const std::string&)> frame_handler_;
  std::unique_ptr<coordination::Controller> controller_;
};

}  // namespace poppystile::simulation
