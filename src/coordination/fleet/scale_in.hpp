/// \file
/// Drains machines that the fleet does not need, and gives up those that do no work.
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

/// Why a machine is given up.
enum class ReleaseReason : std::uint8_t { never_came_up, silent, unresponsive, quarantined };

/// Decides which machines are released. Keeps references to its arguments.
class ScaleIn {
 public:
  ScaleIn(transport::Runtime& runtime, MachineRegistry& registry, const MachineCatalog& catalog,
          MachineReleaser& releaser, const protocol::Settings& settings);

  /// Silence before `term_started_at` does not count against a machine.
  void begin_term(SteadyTime term_started_at) { term_started_at_ = term_started_at; }

  /// Schedules the release of machines that never came up, do not answer, or fail every task.
  void release_overdue();
  /// Schedules the release of drained machines, and uncordons those that are wanted again.
  void apply_releases(const planning::ScalingPlan& plan);
  /// Starts draining the machines that the plan can do without.
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
