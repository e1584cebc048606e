/// \file
/// The state of a machine while a plan is made, with the decisions of the plan so far.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cluster/cluster_state.hpp"
#include "planning/replica_zones.hpp"

namespace poppystile::planning {

/// A machine's resources, tasks and image fetches, with the decisions of the plan so far.
struct MachineSlot {
  const cluster::Machine* machine = nullptr;
  /// Resources that neither tasks nor decisions of the plan use.
  protocol::Resources free;
  /// Size of the machine less the resources of services and of tasks whose job is unknown.
  protocol::Resources array_capacity;
  /// Resources of stopping tasks, less those that the plan has reserved.
  protocol::Resources being_freed;
  /// Number of tasks on the machine, including those that the plan adds.
  std::size_t task_count = 0;
  /// Images that the machine is fetching, or will fetch for tasks assigned to it.
  std::vector<std::string> pending_images;
  /// Number of service replicas that wait for their image.
  std::uint32_t replicas_awaiting_image = 0;
  /// Expected remaining run time of the tasks of arrays and gangs, each divided by the number of
  /// such tasks that fit into `array_capacity`; see docs/design.md.
  Seconds load{0};
  /// Expected time until a booting machine is up; 0 for a machine that is up.
  Seconds ready_in{0};

  /// Whether `pending_images` has the image.
  bool is_fetching(const std::string& image) const;
  /// Whether a further task needs no fetch of its own: the image is cached, or one fetch of it
  /// serves every task that waits for it.
  bool has_cached_or_is_fetching(const std::string& image) const {
    return machine->has_cached(image) || is_fetching(image);
  }
  /// Resources that are free once the stopping tasks have exited.
  protocol::Resources free_after_stops() const;
  /// How many more tasks of the job fit, by free resources and by
  /// `constants::max_tasks_per_machine`.
  std::uint32_t task_capacity(const protocol::JobSpec& job) const;
  /// Adds one task of the job to the machine, without checking whether it fits.
  void occupy(const protocol::JobSpec& job);
};

/// Makes the slot of a schedulable machine, and adds the machine's replicas to `replicas`.
MachineSlot make_slot(const cluster::Machine& machine, const cluster::ClusterState& cluster_state,
                      SteadyTime now, ReplicaZones& replicas);

/// Makes the slot of a booting machine. Returns nothing if it has been booting for longer than
/// `constants::boot_latest_share` of its usual boot time, since the rest cannot be estimated then.
std::optional<MachineSlot> make_booting_slot(const cluster::Machine& machine, WallTime now);

/// Time until the machine has the job's image in its cache. All fetches share the machine's rate.
/// For an image that is not being fetched yet, `competing_fetches` is the number of fetches to
/// assume besides its own and those of `pending_images`.
Seconds image_fetch_time(const MachineSlot& slot, const protocol::JobSpec& job,
                         std::size_t competing_fetches = 0);

}  // namespace poppystile::planning
