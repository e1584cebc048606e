/// \file
/// The leader's state of one task on one machine.
#pragma once

#include <cstdint>
#include <string>

#include "clock.hpp"
#include "protocol/submission.hpp"

namespace poppystile::cluster {

using protocol::Resources;

enum class PlacementPhase : std::uint8_t {
  assigned,  // Not reported by the worker yet.
  fetching,  // The machine fetches its image.
  waiting,   // Waits for the other tasks of its gang.
  running,
  saving,  // Saves a checkpoint.
  exited   // Uses no resources.
};

struct Placement {
  std::string job;
  std::string team;  // Kept here because the job may be erased before the placement.
  std::uint32_t index = 0;
  std::uint64_t attempt = 0;
  Resources task_resources;  // Resources of the task.
  PlacementPhase phase = PlacementPhase::assigned;
  bool stopping = false;                     // Its worker is to be sent a stop command.
  std::uint64_t last_reported_sequence = 0;  // Newest heartbeat that listed it; 0: none.
  bool finished = false;                     // Exited with `done`.
  // Position up to which the journal must be durable before the task is started and, once it has
  // finished, before the placement is erased.
  std::uint64_t log_position = 0;
  // Incarnation and sequence number of the newest heartbeat answered with a start command for the
  // task; 0: none was sent.
  std::uint64_t start_incarnation = 0;
  std::uint64_t start_sequence = 0;
  int unacknowledged_starts = 0;  // Starts that the following heartbeat did not list.
  SteadyTime phase_started_at;
};

}  // namespace poppystile::cluster
