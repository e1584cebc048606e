#include "planning/service_placement.hpp"

#include <algorithm>

#include "constants.hpp"

namespace poppystile::planning {

using cluster::Job;
using cluster::Machine;
using protocol::JobSpec;

void ServicePlacement::place(const Job& job) {
  const JobSpec& spec = job.spec();
  for (std::uint32_t left = std::min(job.schedulable_tasks(), draft_.team_room(spec)); left > 0;
       --left) {
    MachineSlot* slot = best_of(draft_.slots(), spec);
    if (slot != nullptr) {
      if (!better_off_waiting(job, *slot)) draft_.commit(*slot, spec);
    } else if (!preemption_.make_room(job)) {
      return;
    }
  }
}

MachineSlot* ServicePlacement::best_of(std::vector<MachineSlot>& slots, const JobSpec& job) {
  MachineSlot* best = nullptr;
  Seconds least{0};
  for (auto& slot : slots) {
    if (!draft_.fits(slot, job)) continue;
    const Seconds delay = startup_delay(job, slot);
    if (best != nullptr && delay >= least) continue;
    best = &slot;
    least = delay;
  }
  return best;
}

bool ServicePlacement::better_off_waiting(const Job& job, const MachineSlot& now) {
  const Seconds waited = draft_.context().wall_now - job.record.accepted_at;
  if (draft_.booting().empty() || waited > constants::max_boot_wait) return false;
  const JobSpec& spec = job.spec();
  MachineSlot* later = best_of(draft_.booting(), spec);
  if (later == nullptr || startup_delay(spec, *later) >= startup_delay(spec, now)) return false;
  draft_.reserve(*later, spec);
  return true;
}

Seconds ServicePlacement::fetch_cost(const JobSpec& job, const MachineSlot& slot) {
  if (slot.machine->holds(job.image)) return Seconds{0};
  const Seconds one_fetch{job.image_gb / slot.machine->fetch_gb_per_s};
  const auto under_way = static_cast<double>(slot.fetching.size());
  if (slot.fetches(job.image)) return one_fetch * under_way;
  return one_fetch * (under_way + 1 + static_cast<double>(slot.replicas_starting));
}

Seconds ServicePlacement::startup_delay(const JobSpec& job, const MachineSlot& slot) const {
  const Machine& machine = *slot.machine;
  const PlanningContext& context = draft_.context();
  const double arrays_share = static_cast<double>(slot.for_arrays.cpus) /
                              static_cast<double>(std::max<std::int64_t>(1, machine.size.cpus));
  Seconds delay = constants::pack_worth_reports * context.heartbeat_interval * arrays_share;
  delay += constants::zone_worth_reports * context.heartbeat_interval *
           draft_.class_share(job.job_class, machine.zone);
  // The start goes with the answer to its next report.
  delay += slot.ready_in > Seconds{0}
               ? slot.ready_in + context.heartbeat_interval
               : std::clamp(machine.last_heartbeat_at + context.heartbeat_interval - context.now,
                            Seconds{0}, context.heartbeat_interval);
  return delay + fetch_cost(job, slot);
}

}  // namespace poppystile::planning
