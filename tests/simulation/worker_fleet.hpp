/// \file
/// The workers on the machines that the simulated cloud has rented out.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "simulation/cloud.hpp"
#include "simulation/worker.hpp"

namespace poppystile::simulation {

/// Owns the workers: each starts when its machine has booted and stops when it is removed.
class WorkerFleet {
 public:
  /// `controllers`: their names, as the workers know them. `send` transmits a heartbeat. Registers
  /// itself with the cloud, which must not outlive it in use.
  WorkerFleet(EventQueue& queue, InvariantChecker& invariants, Gangs& gangs, Cloud& cloud,
              const WorkerTiming& timing, std::vector<std::string> controllers, Worker::Send send);

  /// The workers that are up, by machine.
  const std::map<std::string, std::unique_ptr<Worker>>& workers() const { return workers_; }
  /// Null when the machine is not up.
  Worker* find(const std::string& machine) const;
  /// `count` different workers at random, or all if there are fewer.
  std::vector<Worker*> sample(int count) const;
  /// A machine that the job could start on now; a gang counts the room of its whole zone or of
  /// all machines. Empty when there is none.
  std::string machine_with_room_for(const protocol::JobSpec& spec) const;
  /// Leases that expired without a fault of the machine, or of its network, that explains it.
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
  std::vector<std::unique_ptr<Worker>> removed_;  // events may still refer to them
};

}  // namespace poppystile::simulation
