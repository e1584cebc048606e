/// \file
/// The present attempt to run a gang.
#pragma once

#include <cstdint>
#include <set>
#include <string>

#include "clock.hpp"

namespace poppystile::cluster {

/// From the placement of all tasks of a gang in one decision until the last of them is proven to be
/// off its machine.
struct GangAttempt {
  enum class Phase : std::uint8_t {
    none,        // no task is placed
    assembling,  // every task is placed, or to be replaced; none has been seen to run
    running,
    stopping,  // all tasks save and stop together
    ending     // a task is gone: the others are stopped, for nothing is left to save
  };

  Phase phase = Phase::none;
  std::uint64_t number = 0;  // attempt number of all its tasks
  SteadyTime placed_at;
  SteadyTime task_lost_at;     // when the newest lost task was found to be gone
  std::set<std::string> left;  // machines that a task of this attempt has left

  /// Whether no task may be started or replaced any more.
  bool is_over() const { return phase == Phase::stopping || phase == Phase::ending; }
};

}  // namespace poppystile::cluster
