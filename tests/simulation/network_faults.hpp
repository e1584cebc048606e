/// \file
/// The faults of the simulated network, as plain values that its parts read at each message.
#pragma once

#include <set>
#include <string>

#include "clock.hpp"

namespace poppystile::simulation {

/// Which links of one controller are interrupted, and what becomes of the messages on them.
struct NetworkPartition {
  bool state_service = false;
  bool workers = false;
  bool peers = false;
  bool users = false;
  /// Only the responses to watches of the state service are held back.
  bool watches = false;
  /// Messages sent meanwhile are delivered when the partition heals, in place of being lost.
  bool deliver_on_heal = false;
  /// The state service rejects every call with 503; open watches are held back.
  bool reject_state_calls = false;
};

/// A share of the messages arrives later.
struct AddedLatency {
  double share = 0;
  Seconds delay{0};
};

/// A share of the messages is delivered once more, after a random delay.
struct Duplication {
  double share = 0;
  Seconds min_delay{0};
  Seconds max_delay{0};
};

/// The faults in force now. A default-constructed value is a network without faults.
struct NetworkFaults {
  /// Share of the state service's responses that never arrive.
  double lost_state_responses = 0;
  /// Share of the transactions that get no response and are carried out seconds later.
  double delayed_writes = 0;
  AddedLatency delayed_state_responses;
  AddedLatency delayed_heartbeat_responses;
  /// Added to each message between controllers.
  Seconds peer_message_delay{0};
  /// Of calls to the state service and the cloud, and of users' submissions and cancellations.
  Duplication duplicated_calls;
  /// Of workers' heartbeats; the copy reaches any controller.
  Duplication duplicated_heartbeats;
  /// Workers in this zone reach only controllers in it, and the other way round; empty: none.
  std::string isolated_zone;
  /// Machines whose heartbeats arrive, but which get no response.
  std::set<std::string> machines_with_lost_responses;
};

}  // namespace poppystile::simulation
