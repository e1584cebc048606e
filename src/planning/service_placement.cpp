#include "planning/service_placement.hpp"

#include <algorithm>

#include "constants.hpp"

namespace poppystile::planning {

using cluster::Job;
using cluster::Machine;
using protocol::JobSpec;

void ServicePlacement::place(const Job& job) {
  const JobSpec& spec = job.spec();
  std::uint32_t remaining =
      std::min(job.schedulable_tasks(), draft_.quotas().remaining_tasks(spec));
  for (; remaining > 0; --remaining) {
    MachineSlot* slot = find_best_slot(draft_.slots(), spec);
    if (slot != nullptr) {
      if (!reserve_booting_machine(job, *slot)) draft_.place(*slot, spec);
    } else if (!preemption_.reserve_for_task(job)) {
      return;
    }
  }
}

MachineSlot* ServicePlacement::find_best_slot(std::vector<MachineSlot>& slots, const JobSpec& job) {
  MachineSlot* best = nullptr;
  Seconds least_delay{0};
  for (auto& slot : slots) {
    if (!draft_.fits(slot, job)) continue;
    const Seconds delay = startup_delay(job, slot);
    if (best != nullptr && delay >= least_delay) continue;
    best = &slot;
    least_delay = delay;
  }
  return best;
}

bool ServicePlacement::reserve_booting_machine(const Job& job, const MachineSlot& available) {
  const Seconds waited = draft_.context().wall_now - job.record.accepted_at;
  if (draft_.booting_slots().empty() || waited > constants::max_boot_wait) return false;
  const JobSpec& spec = job.spec();
  MachineSlot* booting = find_best_slot(draft_.booting_slots(), spec);
  if (booting == nullptr || startup_delay(spec, *booting) >= startup_delay(spec, available))
    return false;
  draft_.reserve(*booting, spec);
  return true;
}

Seconds ServicePlacement::startup_delay(const JobSpec& job, const MachineSlot& slot) const {
  const Machine& machine = *slot.machine;
  const PlanningContext& context = draft_.context();
  const double array_share = static_cast<double>(slot.array_capacity.cpus) /
                             static_cast<double>(std::max<std::int64_t>(1, machine.size.cpus));
  Seconds delay = constants::service_packing_heartbeats * context.heartbeat_interval * array_share;
  delay += constants::zone_spread_heartbeats * context.heartbeat_interval *
           draft_.replica_zones().share_in(job.job_class, machine.zone);
  // A start command is sent in the response to the machine's next heartbeat.
  delay += slot.ready_in > Seconds{0}
               ? slot.ready_in + context.heartbeat_interval
               : std::clamp(machine.last_heartbeat_at + context.heartbeat_interval - context.now,
                            Seconds{0}, context.heartbeat_interval);
  // A fetch of another image delays every replica on the machine that waits for its image.
  return delay + image_fetch_time(slot, job, slot.replicas_awaiting_image);
}

}  // namespace poppystile::planning
