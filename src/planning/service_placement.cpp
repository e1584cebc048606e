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
  double least = 0;
  for (auto& slot : slots) {
    if (!draft_.fits(slot, job)) continue;
    const double delay = delay_s(job, slot);
    if (best != nullptr && delay >= least) continue;
    best = &slot;
    least = delay;
  }
  return best;
}

bool ServicePlacement::better_off_waiting(const Job& job, const MachineSlot& now) {
  const double waited = draft_.context().now_wall_s - job.record.accepted_wall_s;
  if (draft_.booting().empty() || waited > constants::boot_wait_s) return false;
  const JobSpec& spec = job.spec();
  MachineSlot* later = best_of(draft_.booting(), spec);
  if (later == nullptr || delay_s(spec, *later) >= delay_s(spec, now)) return false;
  draft_.reserve(*later, spec);
  return true;
}

double ServicePlacement::fetch_cost_s(const JobSpec& job, const MachineSlot& slot) {
  if (slot.machine->holds(job.image)) return 0;
  const double one_fetch = job.image_gb / slot.machine->fetch_gb_per_s;
  const auto under_way = static_cast<double>(slot.fetching.size());
  if (slot.fetches(job.image)) return one_fetch * under_way;
  return one_fetch * (under_way + 1 + static_cast<double>(slot.replicas_starting));
}

double ServicePlacement::delay_s(const JobSpec& job, const MachineSlot& slot) const {
  const Machine& machine = *slot.machine;
  const PlanningContext& context = draft_.context();
  const double arrays_share = static_cast<double>(slot.for_arrays.cpus) /
                              static_cast<double>(std::max<std::int64_t>(1, machine.size.cpus));
  double delay = constants::pack_worth_reports * context.heartbeat_interval_s * arrays_share;
  delay += constants::zone_worth_reports * context.heartbeat_interval_s *
           draft_.class_share(job.job_class, machine.zone);
  // The start goes with the answer to its next report.
  delay += slot.ready_in_s > 0
               ? slot.ready_in_s + context.heartbeat_interval_s
               : std::clamp(machine.last_heartbeat_s + context.heartbeat_interval_s - context.now_s,
                            0.0, context.heartbeat_interval_s);
  return delay + fetch_cost_s(job, slot);
}

}  // namespace poppystile::planning
