/// \file
/// One task on one machine, as the leader knows it.
#pragma once

#include <cstdint>
#include <string>

#include "clock.hpp"
#include "protocol/submission.hpp"

namespace poppystile::cluster {

using protocol::Resources;

enum class PlacementPhase : std::uint8_t {
  assigned,  // not reported by the worker yet
  fetching,  // its image
  waiting,   // for the other tasks of its gang
  running,
  saving,
  exited  // takes no room any more
};

struct Placement {
  std::string job;
  std::string team;  // whose use it counts for, also when the job is gone
  std::uint32_t index = 0;
  std::uint64_t attempt = 0;
  Resources each;
  PlacementPhase phase = PlacementPhase::assigned;
  bool stopping = false;                     // its worker is to be told to save and stop it
  std::uint64_t last_reported_sequence = 0;  // sequence number of the newest report that listed it
  bool finished = false;                     // exited with done
  // The journal has to be durable up to here before the task is started; once it has exited, before
  // the placement is forgotten.
  std::uint64_t log_position = 0;
  // The newest report that a start command answered.
  std::uint64_t start_incarnation = 0;
  std::uint64_t start_sequence = 0;
  int unacknowledged_starts = 0;  // start commands that the next report did not show
  SteadyTime phase_started_at;
};

}  // namespace poppystile::cluster
