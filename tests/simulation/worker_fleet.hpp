/// \file
/// The workers on the rented machines of the simulated cloud.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "simulation/cloud.hpp"
#include "simulation/worker.hpp"

namespace poppystile::simulation {

/// Owns the workers. Each worker starts when its machine has booted and stops when its machine is
/// removed.
class WorkerFleet {
 public:
  /// `controllers` are the names to which workers send heartbeats; `send` transmits a heartbeat.
  /// Sets the cloud's handlers, so that the cloud must not be used after the fleet's destruction.
  WorkerFleet(EventQueue& queue, InvariantChecker& invariants, Gangs& gangs, Cloud& cloud,
              const WorkerTiming& timing, std::vector<std::string> controllers, Worker::Send send);

  /// The running workers, by machine.
  const std::map<std::string, std::unique_ptr<Worker>>& workers() const { return workers_; }
  /// Returns the running worker on this machine, or null if there is none.
  Worker* find(const std::string& machine) const;
  /// Returns `count` different random workers, or all workers if there are fewer.
  std::vector<Worker*> sample(int count) const;
  /// Returns a machine on which the job could start now, or an empty string if there is none. A
  /// gang needs capacity for all of its tasks: in one zone if the job requires it, otherwise on all
  /// machines.
  std::string machine_with_capacity_for(const protocol::JobSpec& spec) const;
  /// Number of leases that expired without a fault of the machine or of its network.
  std::uint64_t unexplained_lease_expirations() const;

 private:
  void add(const RentedMachine& rented, const protocol::MachineType& type);
  void remove(const std::string& machine);

  EventQueue& queue_;
  InvariantChecker& invariants_;
  Gangs& gangs_;
  WorkerTiming timing_;
  std::vector<std::string> controllers_;
  Worker::Send send_;
  std::map<std::string, std::unique_ptr<Worker>> workers_;
  std::vector<std::unique_ptr<Worker>> removed_;  // kept because events may still refer to them
};

}  // namespace poppystile::simulation
