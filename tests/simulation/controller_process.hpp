/// \file
/// One controller of the simulation: the production Controller on simulated time and network.
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

/// The parts of a simulation that all of its controller processes share.
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
  /// Chooses the drift and the offset of the process's clocks at random. Does not start the
  /// controller.
  ControllerProcess(const SimulatedNetwork& network, ControllerCluster& cluster,
                    protocol::Settings settings, int number);

  /// Starts a new controller, which has no state yet. None may be running.
  void start();
  /// Destroys the controller, drops its timers and the messages that wait for the end of a pause,
  /// and starts a new controller after `restart_after`. Messages held by a partition are kept. Does
  /// nothing if the controller is not running.
  void crash(Seconds restart_after);
  /// Pauses the process for `duration`. Its clocks advance, but timers and messages wait until it
  /// resumes. Does nothing if the process is paused or not running.
  void pause(Seconds duration);
  void set_partition(const NetworkPartition& partition) { partition_ = partition; }
  /// Ends the partition and delivers the held messages.
  void heal();

  int number() const { return number_; }
  const std::string& name() const { return settings_.name; }
  const std::string& zone() const { return settings_.zone; }
  const NetworkPartition& partition() const { return partition_; }
  bool is_running() const { return controller_ != nullptr; }
  bool is_paused() const { return paused_; }
  bool is_leader() const { return is_running() && controller_->is_leader(); }
  std::uint64_t token() const { return controller_->token(); }
  /// Number of release requests that it sent while another controller was leader under a higher
  /// token.
  std::uint64_t stale_releases() const { return stale_releases_; }

  /// Runs `action`, which delivers a message: now or, if the process is paused, when it resumes.
  void deliver(std::function<void()> action);
  /// Holds `action`, which delivers a message, until the partition heals.
  void hold(std::function<void()> action) { held_messages_.push_back(std::move(action)); }
  /// Passes a request to the controller; drops it without a response if none is running.
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
  double clock_rate_;    // Rate of the steady clock relative to simulated time.
  Seconds wall_offset_;  // Offset of the wall clock from simulated time.
  NetworkPartition partition_;
  std::vector<std::function<void()>> held_messages_;
  bool paused_ = false;
  std::vector<std::function<void()>> due_timers_,
      waiting_messages_;  // collected while the process is paused
  std::uint64_t stale_releases_ = 0;
  std::shared_ptr<int> lifetime_;  // expires in callbacks when the controller is destroyed
  std::function<void(const std::string&)> frame_handler_;
  std::unique_ptr<coordination::Controller> controller_;
};

}  // namespace poppystile::simulation
