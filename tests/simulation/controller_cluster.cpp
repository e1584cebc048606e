#include "simulation/controller_cluster.hpp"

#include <algorithm>

namespace poppystile::simulation {

void ControllerCluster::start(const SimulationSettings& settings) {
  for (int i = 0; i < settings.controllers; ++i)
    processes_.push_back(
        std::make_unique<ControllerProcess>(network_, *this, controller_settings(settings, i), i));
  for (const auto& process : processes_) process->start();
}

ControllerProcess* ControllerCluster::find(const std::string& name) const {
  for (const auto& process : processes_)
    if (process->name() == name) return process.get();
  return nullptr;
}

ControllerProcess* ControllerCluster::leader() const {
  for (const auto& process : processes_)
    if (process->is_leader()) return process.get();
  return nullptr;
}

ControllerProcess* ControllerCluster::follower() const {
  for (const auto& process : processes_)
    if (process->is_running() && !process->is_leader()) return process.get();
  return nullptr;
}

ControllerProcess& ControllerCluster::random() const {
  const double index = network_.queue.uniform(0, static_cast<double>(processes_.size()));
  return *processes_[static_cast<std::size_t>(index)];
}

std::vector<ControllerProcess*> ControllerCluster::reachable_by_users() const {
  std::vector<ControllerProcess*> out;
  for (const auto& process : processes_)
    if (process->is_running() && !process->partition().users) out.push_back(process.get());
  return out;
}

ControllerProcess& ControllerCluster::select(const std::string& selector) const {
  ControllerProcess* found = nullptr;
  if (selector == "leader") found = leader();
  if (selector == "follower") found = follower();
  if (found != nullptr) return *found;
  if (selector == "leader" || selector == "follower" || selector == "any") return random();
  return *processes_.at(static_cast<std::size_t>(std::stoi(selector)));
}

bool ControllerCluster::has_leader_above(std::uint64_t token) const {
  return std::any_of(processes_.begin(), processes_.end(), [&](const auto& process) {
    return process->is_leader() && process->token() > token;
  });
}

std::uint64_t ControllerCluster::stale_releases() const {
  std::uint64_t sum = 0;
  for (const auto& process : processes_) sum += process->stale_releases();
  return sum;
}

}  // namespace poppystile::simulation
