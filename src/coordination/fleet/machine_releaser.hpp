/// \file
/// Releases machines to the cloud, in batches.
#pragma once

#include <functional>
#include <set>
#include <string>
#include <vector>

#include "cluster/cluster_state.hpp"
#include "coordination/fleet/cloud_client.hpp"
#include "coordination/fleet/machine_registry.hpp"
#include "transport/event_loop.hpp"

namespace poppystile::coordination {

/// Told that the cloud has taken a machine back, so that everything on it is gone. Removes the
/// machine from the cluster state.
using MachineRemovedHandler =
    std::function<void(cluster::Machine& machine, const std::string& reason)>;

/// Machines on their way back to the cloud. One batch is under way at a time, and is repeated until
/// the cloud confirms it. Keeps references to its arguments.
class MachineReleaser {
 public:
  MachineReleaser(transport::Runtime& runtime, CloudClient& cloud, MachineRegistry& registry,
                  MachineRemovedHandler on_machine_removed);

  /// Forgets what was scheduled. Calls made before must have been abandoned.
  void begin_term();
  /// Takes a machine out of use, to be released with the next batch.
  void schedule(cluster::Machine& machine);
  /// Sends the next batch if there is one and the cloud's rate limit allows a call.
  void send_batch_if_due();

 private:
  void send(const std::vector<std::string>& batch);
  void on_batch_released(const std::vector<std::string>& batch);

  transport::Runtime& runtime_;
  CloudClient& cloud_;
  MachineRegistry& registry_;
  MachineRemovedHandler on_machine_removed_;
  std::set<std::string> scheduled_;
  bool batch_in_flight_ = false;
  SteadyTime next_batch_at_;
};

}  // namespace poppystile::coordination
