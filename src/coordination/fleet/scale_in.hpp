/// \file
/// Drains machines beyond the demand, and releases drained and unusable machines.
#pragma once

#include <cstdint>
#include <optional>

#include "coordination/fleet/machine_catalog.hpp"
#include "coordination/fleet/machine_registry.hpp"
#include "coordination/fleet/machine_releaser.hpp"
#include "planning/autoscaler/autoscaler.hpp"
#include "protocol/settings.hpp"
#include "transport/event_loop.hpp"

namespace poppystile::coordination {

/// Why a machine is unusable and therefore released.
enum class ReleaseReason : std::uint8_t { boot_timed_out, silent, unresponsive, quarantined };

/// Drains machines and schedules their release. The constructor's arguments must outlive this
/// object.
class ScaleIn {
 public:
  ScaleIn(transport::Runtime& runtime, MachineRegistry& registry, const MachineCatalog& catalog,
          MachineReleaser& releaser, const protocol::Settings& settings);

  /// Starts a term. A machine counts as silent since this leader's last response to its heartbeats,
  /// but not since before `term_started_at`.
  void begin_term(SteadyTime term_started_at) { term_started_at_ = term_started_at; }

  /// Schedules the release of machines whose boot timed out, that send no heartbeats, that do not
  /// receive responses, or that are quarantined and have no placements. The timeouts are
  /// `constants::boot_timeout_factor` times the boot time plus `constants::boot_timeout_allowance`,
  /// the worker lease plus `constants::silence_grace`, and
  /// `constants::unresponsive_leases_before_release` worker leases.
  void release_unusable();
  /// Schedules the release of the machines in `plan.release`, and ends the draining of those in
  /// `plan.uncordon`.
  void apply_releases(const planning::ScalingPlan& plan);
  /// Starts draining the machines in `plan.drain`.
  void apply_drains(const planning::ScalingPlan& plan);

 private:
  std::optional<ReleaseReason> reason_to_release(const cluster::Machine& machine) const;
  bool is_boot_timed_out(const cluster::Machine& machine) const;
  bool is_silent(const cluster::Machine& machine) const;
  bool is_unresponsive(const cluster::Machine& machine) const;

  transport::Runtime& runtime_;
  MachineRegistry& registry_;
  const MachineCatalog& catalog_;
  MachineReleaser& releaser_;
  const protocol::Settings& settings_;
  SteadyTime term_started_at_;
};

}  // namespace poppystile::coordination
