#include "coordination/fleet/scale_in.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "constants.hpp"

namespace poppystile::coordination {

using cluster::Machine;

namespace {

const char* to_text(ReleaseReason reason) {
  switch (reason) {
    case ReleaseReason::boot_timed_out:
      return "boot timed out";
    case ReleaseReason::silent:
      return "silent";
    case ReleaseReason::unresponsive:
      return "unresponsive";
    case ReleaseReason::quarantined:
      return "quarantined";
  }
  return "";
}

}  // namespace

ScaleIn::ScaleIn(transport::Runtime& runtime, MachineRegistry& registry,
                 const MachineCatalog& catalog, MachineReleaser& releaser,
                 const protocol::Settings& settings)
    : runtime_(runtime),
      registry_(registry),
      catalog_(catalog),
      releaser_(releaser),
      settings_(settings) {}

void ScaleIn::release_unusable() {
  for (auto& [id, machine] : registry_.cluster_state().machines) {
    if (machine.releasing) continue;
    const auto reason = reason_to_release(machine);
    if (!reason) continue;
    spdlog::info("machine release scheduled id={} why=\"{}\"", id, to_text(*reason));
    releaser_.schedule(machine);
  }
}

std::optional<ReleaseReason> ScaleIn::reason_to_release(const Machine& machine) const {
  if (machine.incarnation == 0) {
    if (is_boot_timed_out(machine)) return ReleaseReason::boot_timed_out;
    return std::nullopt;
  }
  if (is_silent(machine)) return ReleaseReason::silent;
  if (is_unresponsive(machine)) return ReleaseReason::unresponsive;
  if (machine.quarantined && machine.placements.empty()) return ReleaseReason::quarantined;
  return std::nullopt;
}

bool ScaleIn::is_boot_timed_out(const Machine& machine) const {
  const protocol::MachineType* type = catalog_.find(machine.type);
  const Seconds boot_time = type == nullptr ? Seconds{0} : type->boot_time;
  const Seconds age = runtime_.wall_now() - machine.rented_at;
  return age > boot_time * constants::boot_timeout_factor + constants::boot_timeout_allowance;
}

bool ScaleIn::is_silent(const Machine& machine) const {
  const Seconds silent_for = runtime_.now() - std::max(machine.last_response_at, term_started_at_);
  return silent_for > settings_.worker_lease + constants::silence_grace;
}

bool ScaleIn::is_unresponsive(const Machine& machine) const {
  return machine.has_reported && (machine.is_unresponsive || !machine.has_acknowledged_token) &&
         runtime_.now() - machine.unresponsive_since >
             constants::unresponsive_leases_before_release * settings_.worker_lease;
}

void ScaleIn::apply_releases(const planning::ScalingPlan& plan) {
  auto& machines = registry_.cluster_state().machines;
  for (const auto& id : plan.release) releaser_.schedule(machines.at(id));
  for (const auto& id : plan.uncordon) machines.at(id).draining = false;
}

void ScaleIn::apply_drains(const planning::ScalingPlan& plan) {
  auto& machines = registry_.cluster_state().machines;
  for (const auto& id : plan.drain) {
    spdlog::debug("machine draining id={}", id);
    machines.at(id).draining = true;
  }
}

}  // namespace poppystile::coordination
