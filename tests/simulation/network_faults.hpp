/// \file
/// The current faults of the simulated network. Its parts read them for each message.
#pragma once

#include <set>
#include <string>

#include "clock.hpp"

namespace poppystile::simulation {

/// Which links of one controller are interrupted, and whether their messages are lost or held.
struct NetworkPartition {
  bool state_service = false;
  bool workers = false;
  bool peers = false;
  bool users = false;
  /// Only responses to watches of the state service are held until the partition heals.
  bool watches = false;
  /// Messages sent during the partition are delivered when it heals, instead of being lost.
  bool deliver_on_heal = false;
  /// Every call to the state service is rejected with 503, and responses to open watches are held.
  bool reject_state_calls = false;
};

/// The fraction `share` of the messages is delayed by `delay`.
struct AddedLatency {
  double share = 0;
  Seconds delay{0};
};

/// The fraction `share` of the messages is delivered a second time, after a random delay.
struct Duplication {
  double share = 0;
  Seconds min_delay{0};
  Seconds max_delay{0};
};

/// The current faults. A default-constructed value means a network without faults.
struct NetworkFaults {
  /// Fraction of the state service's responses that are lost.
  double lost_state_responses = 0;
  /// Fraction of the transactions that are executed 2 s to 12 s late and get no response.
  double delayed_writes = 0;
  AddedLatency delayed_state_responses;
  AddedLatency delayed_heartbeat_responses;
  /// Added to the latency of each message between controllers.
  Seconds peer_message_delay{0};
  /// Duplicates calls to the state service and the cloud, and users' submissions and cancellations.
  Duplication duplicated_calls;
  /// Duplicates workers' heartbeats; each duplicate arrives at a random controller.
  Duplication duplicated_heartbeats;
  /// Duplicates responses to heartbeats. A worker executes the commands of a duplicate that arrives
  /// before it would have stopped waiting for the response.
  Duplication duplicated_heartbeat_responses;
  /// Workers in this zone reach only controllers in it, and other workers only controllers outside
  /// it. Empty if no zone is isolated.
  std::string isolated_zone;
  /// Machines whose heartbeats arrive, but whose responses are lost.
  std::set<std::string> machines_with_lost_responses;
};

}  // namespace poppystile::simulation
