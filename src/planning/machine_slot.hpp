/// \file
/// A machine as a plan under construction leaves it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cluster/cluster_state.hpp"
#include "planning/replica_zones.hpp"

namespace poppystile::planning {

/// What a machine has left, with the decisions of the plan so far.
struct MachineSlot {
  const cluster::Machine* machine = nullptr;
  protocol::Resources free;                 // used neither by tasks nor by the plan
  protocol::Resources array_capacity;       // its size less what services use
  protocol::Resources being_freed;          // of tasks that were told to stop
  std::size_t task_count = 0;               // tasks on it, and those that the plan places there
  std::vector<std::string> fetched_images;  // being fetched, or about to be
  std::uint32_t fetching_replicas = 0;      // of services, that wait for their image
  Seconds load{0};                          // of array work; docs/design.md on the unit
  Seconds ready_in{0};                      // until it is expected to be up; 0: it is up

  /// Whether the image is being fetched, or about to be.
  bool is_fetching(const std::string& image) const;
  /// Whether the image is there or on its way: one fetch serves every task that waits for it.
  bool has_or_fetches(const std::string& image) const {
    return machine->holds(image) || is_fetching(image);
  }
  /// What is free once the tasks that were told to stop are gone.
  protocol::Resources free_after_stops() const;
  /// How many more tasks of the job fit, by resources and by the machine's limit on tasks.
  std::uint32_t task_capacity(const protocol::JobSpec& job) const;
  /// Counts one more task of the job as being on the machine.
  void occupy(const protocol::JobSpec& job);
};

/// The slot of a machine that takes tasks. Counts its replicas in `replicas`.
MachineSlot make_slot(const cluster::Machine& machine, const cluster::ClusterState& cluster_state,
                      SteadyTime now, ReplicaZones& replicas);

/// The slot of a machine that boots; nothing when it is overdue, for its time to be up is unknown.
std::optional<MachineSlot> make_booting_slot(const cluster::Machine& machine, WallTime now);

/// Time until the job's image is on the machine. All fetches share the machine's rate;
/// `competing_fetches` are those to be counted in beside the images being fetched.
Seconds image_fetch_time(const MachineSlot& slot, const protocol::JobSpec& job,
                         std::size_t competing_fetches = 0);

}  // namespace poppystile::planning
