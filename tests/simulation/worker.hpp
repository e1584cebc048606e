/// \file
/// Simulated worker, after PROTOCOL: heartbeats, commands, tokens, incarnations, leases.
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

/// The settings that a worker shares with the controllers.
struct WorkerTiming {
  Seconds heartbeat_interval{1};
  Seconds lease{10};
};

/// One machine that sends heartbeats to a controller, follows its commands, and ends all tasks when
/// its lease expires.
class Worker {
 public:
  using OnResponse = std::function<void(transport::HttpResponse)>;
  /// Sends a heartbeat to the controller of this name; the network decides what becomes of it.
  using Send = std::function<void(const std::string& controller, const Worker& from,
                                  const std::string& body, const OnResponse& on_response)>;

  Worker(EventQueue& queue, InvariantChecker& invariants, Gangs& gangs, const HostMachine& host,
         const protocol::MachineType& type, const WorkerTiming& timing,
         std::vector<std::string> controllers, Send send);

  /// Sends the first heartbeat, to a random controller, and begins the first lease.
  void start();
  /// The machine is gone.
  void stop();
  const HostMachine& host() const { return host_; }
  /// How many tasks of this job it could start now.
  std::int64_t room_for(const protocol::JobSpec& spec) const;

  // Faults.

  /// The machine stands still; its lease goes on.
  void hang(Seconds duration);
  /// Whether every task that starts from now on fails.
  void set_tasks_fail(bool fail) { tasks_.set_tasks_fail(fail); }
  /// The cloud will take the machine back after this time.
  void give_preemption_notice(Seconds until_preemption);
  /// Its heartbeats reach no controller.
  void block_heartbeats(Seconds duration);
  /// A fault of this duration explains lease expirations, up to a while after it.
  void expect_lease_expiry(Seconds duration);
  /// Leases that expired without such an explanation.
  std::uint64_t unexplained_lease_expirations() const { return unexplained_lease_expirations_; }

 private:
  using Json = protocol::Json;

  void send_heartbeat_after(Seconds delay);
  void send_heartbeat_on_change();
  void send_heartbeat();
  std::string encode_heartbeat();
  void handle_response(std::uint64_t heartbeat, std::uint64_t incarnation, double sent_at,
                       const transport::HttpResponse& response);
  void handle_redirect(const transport::HttpResponse& response);
  void try_next_controller();
  void execute(const Json& command);
  void check_lease();
  void expire_lease();

  EventQueue& queue_;
  HostMachine host_;
  WorkerTiming timing_;
  std::vector<std::string> controllers_;
  std::size_t controller_ = 0;  // index of the one it sends to
  Send send_;
  TaskRunner tasks_;
  bool is_up_ = true;
  // Simulated times.
  double expiry_expected_until_ = 0;
  double heartbeats_blocked_until_ = 0;
  double preemption_at_ = -1;  // negative: no notice
  double lease_renewed_at_ = 0;
  double last_heartbeat_at_ = -100;
  double next_heartbeat_at_ = 0;
  std::uint64_t unexplained_lease_expirations_ = 0;
  std::uint64_t incarnation_ = 1;
  std::uint64_t sequence_ = 0;
  std::uint64_t token_ = 0;
  std::uint64_t last_heartbeat_number_ = 0;
  std::uint64_t in_flight_ = 0;  // number of the heartbeat waited for; 0: none
};

}  // namespace poppystile::simulation
