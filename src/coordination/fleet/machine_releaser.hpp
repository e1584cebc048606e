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

/// Called once the cloud has confirmed the release of a machine, which ends all tasks on it. Must
/// remove the machine from the cluster state. `reason` is a text for the log.
using MachineRemovedHandler =
    std::function<void(cluster::Machine& machine, const std::string& reason)>;

/// Sends the releases of scheduled machines, one batch at a time, and repeats them until the cloud
/// confirms them. The constructor's arguments must outlive this object.
class MachineReleaser {
 public:
  MachineReleaser(transport::Runtime& runtime, CloudClient& cloud, MachineRegistry& registry,
                  MachineRemovedHandler on_machine_removed);

  /// Starts a term without scheduled machines. Cloud calls of the previous term must have been
  /// abandoned.
  void begin_term();
  /// Marks a machine as releasing, which excludes it from use, and schedules its release.
  void schedule(cluster::Machine& machine);
  /// Sends at most `constants::max_machines_per_release` scheduled machines if no batch is in
  /// flight, the pause after a failed batch has ended, and the cloud's rate limit allows a call.
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
