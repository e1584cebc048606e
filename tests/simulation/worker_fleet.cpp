#include "simulation/worker_fleet.hpp"

#include <algorithm>
#include <utility>

namespace poppystile::simulation {

WorkerFleet::WorkerFleet(EventQueue& queue, InvariantChecker& invariants, Gangs& gangs,
                         Cloud& cloud, const WorkerTiming& timing,
                         std::vector<std::string> controllers, Worker::Send send)
    : queue_(queue),
      invariants_(invariants),
      gangs_(gangs),
      timing_(timing),
      controllers_(std::move(controllers)),
      send_(std::move(send)) {
  cloud.on_machine_booted = [this](const RentedMachine& rented, const protocol::MachineType& type) {
    add(rented, type);
  };
  cloud.on_machine_removed = [this](const std::string& machine) { remove(machine); };
}

void WorkerFleet::add(const RentedMachine& rented, const protocol::MachineType& type) {
  auto worker = std::make_unique<Worker>(
      queue_, invariants_, gangs_, HostMachine{rented.id, rented.type, rented.zone, rented.spot},
      type, timing_, controllers_, send_);
  worker->start();
  workers_[rented.id] = std::move(worker);
}

void WorkerFleet::remove(const std::string& machine) {
  const auto it = workers_.find(machine);
  if (it == workers_.end()) return;
  it->second->stop();
  removed_.push_back(std::move(it->second));
  workers_.erase(it);
}

Worker* WorkerFleet::find(const std::string& machine) const {
  const auto it = workers_.find(machine);
  return it == workers_.end() ? nullptr : it->second.get();
}

std::vector<Worker*> WorkerFleet::sample(int count) const {
  std::vector<Worker*> out;
  for (const auto& [machine, worker] : workers_) out.push_back(worker.get());
  std::shuffle(out.begin(), out.end(), queue_.random);
  if (out.size() > static_cast<std::size_t>(count)) out.resize(static_cast<std::size_t>(count));
  return out;
}

std::string WorkerFleet::machine_with_capacity_for(const protocol::JobSpec& spec) const {
  const std::int64_t needed = spec.kind == protocol::JobKind::gang ? spec.tasks : 1;
  // By zone if all tasks must be in one zone, otherwise under "".
  std::map<std::string, std::int64_t> startable_by_zone;
  for (const auto& [machine, worker] : workers_) {
    auto& tasks = startable_by_zone[spec.one_zone ? worker->host().zone : ""];
    tasks += worker->startable_tasks(spec);
    if (tasks >= needed) return machine;
  }
  return "";
}

std::uint64_t WorkerFleet::unexplained_lease_expirations() const {
  std::uint64_t sum = 0;
  for (const auto& worker : removed_) sum += worker->unexplained_lease_expirations();
  for (const auto& [machine, worker] : workers_) sum += worker->unexplained_lease_expirations();
  return sum;
}

}  // namespace poppystile::simulation
