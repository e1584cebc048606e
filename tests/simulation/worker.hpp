/// \file
/// Simulated worker, as PROTOCOL specifies it: heartbeats, commands, tokens, incarnations, leases.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "protocol/cloud_messages.hpp"
#include "protocol/json.hpp"
#include "simulation/event_queue.hpp"
#include "simulation/gangs.hpp"
#include "simulation/invariant_checker.hpp"
#include "simulation/task_runner.hpp"
#include "transport/http.hpp"

namespace poppystile::simulation {

/// The settings that must be equal on workers and controllers.
struct WorkerTiming {
  Seconds heartbeat_interval{1};
  Seconds lease{10};
};

/// The worker on one machine: sends heartbeats to a controller, executes the commands in the
/// responses and kills all of its tasks when its lease expires.
class Worker {
 public:
  using OnResponse = std::function<void(transport::HttpResponse)>;
  /// Sends a heartbeat to the controller with this name. The network may lose it or its response.
  using Send = std::function<void(const std::string& controller, const Worker& from,
                                  const std::string& body, const OnResponse& on_response)>;

  Worker(EventQueue& queue, InvariantChecker& invariants, Gangs& gangs, const HostMachine& host,
         const protocol::MachineType& type, const WorkerTiming& timing,
         std::vector<std::string> controllers, Send send);

  /// Sends the first heartbeat to a random controller and begins the first lease.
  void start();
  /// Stops the worker and removes its tasks, since its machine has been removed.
  void stop();
  const HostMachine& host() const { return host_; }
  /// Number of tasks of this job that the worker could start now; zero if the job's placement
  /// constraints exclude the machine.
  std::int64_t startable_tasks(const protocol::JobSpec& spec) const;

  // Faults.

  /// Makes the machine hang: it sends and executes nothing, but its lease keeps running.
  void hang(Seconds duration);
  /// Sets whether every task that starts from now on fails.
  void set_tasks_fail(bool fail) { tasks_.set_tasks_fail(fail); }
  /// Notifies the worker that the cloud will reclaim its machine after this time.
  void give_preemption_notice(Seconds until_preemption);
  /// During `duration`, the worker's heartbeats reach no controller.
  void block_heartbeats(Seconds duration);
  /// Declares a fault of this duration that explains lease expirations until two worker leases
  /// after its end.
  void expect_lease_expiry(Seconds duration);
  /// Number of leases that expired without such a fault.
  std::uint64_t unexplained_lease_expirations() const { return unexplained_lease_expirations_; }

 private:
  using Json = protocol::Json;

  void send_heartbeat_after(Seconds delay);
  void send_heartbeat_on_change();
  void send_heartbeat();
  std::string encode_heartbeat();
  void handle_response(std::uint64_t heartbeat, std::uint64_t incarnation, double sent_at,
                       const transport::HttpResponse& response);
  void execute_duplicate(std::uint64_t incarnation, double sent_at,
                         const transport::HttpResponse& response);
  bool accepts(std::uint64_t incarnation, std::uint64_t token) const {
    return token >= token_ && incarnation == incarnation_;
  }
  void handle_redirect(const transport::HttpResponse& response);
  void try_next_controller();
  void execute(const Json& command);
  void check_lease();
  void expire_lease();

  EventQueue& queue_;
  HostMachine host_;
  WorkerTiming timing_;
  std::vector<std::string> controllers_;
  std::size_t controller_ = 0;  // index of the controller that gets its heartbeats
  Send send_;
  TaskRunner tasks_;
  bool is_up_ = true;
  // Simulated times.
  double expiry_expected_until_ = 0;
  double heartbeats_blocked_until_ = 0;
  double preemption_at_ = -1;  // negative without a notice
  double lease_renewed_at_ = 0;
  double last_heartbeat_at_ = -100;
  double next_heartbeat_at_ = 0;
  std::uint64_t unexplained_lease_expirations_ = 0;
  std::uint64_t incarnation_ = 1;
  std::uint64_t sequence_ = 0;
  std::uint64_t token_ = 0;
  std::uint64_t last_heartbeat_number_ = 0;
  std::uint64_t in_flight_ = 0;  // number of the heartbeat that waits for its response; 0 if none
};

}  // namespace poppystile::simulation
