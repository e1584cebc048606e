/// \file
/// The current attempt to run a gang.
#pragma once

#include <cstdint>
#include <set>
#include <string>

#include "clock.hpp"

namespace poppystile::cluster {

/// An attempt begins when one plan places all tasks of the gang, and ends when the last of them is
/// proven to have left its machine.
struct GangAttempt {
  enum class Phase : std::uint8_t {
    none,        // No task is placed.
    assembling,  // Every task is placed or to be replaced; none has been reported as running.
    running,     // At least one task has been reported as running.
    stopping,    // All tasks are to save and stop together.
    ending       // The attempt failed, e.g. by a lost task: the others stop without saving.
  };

  Phase phase = Phase::none;
  std::uint64_t number = 0;  // Attempt number of all tasks.
  SteadyTime placed_at;
  SteadyTime task_lost_at;  // When the latest loss of a task was detected.
  // Machines that lost a task of this attempt; no replacement is placed on them.
  std::set<std::string> machines_with_lost_tasks;

  /// Whether the attempt can no longer start or replace tasks.
  bool is_over() const { return phase == Phase::stopping || phase == Phase::ending; }
};

}  // namespace poppystile::cluster
