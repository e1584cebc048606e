#include "planning/service_placement.hpp"

#include <algorithm>

#include "constants.hpp"

namespace poppystile::planning {

using bookkeeping::Job;
using bookkeeping::Machine;
using protocol::JobSpec;

void ServicePlacement::place(const Job& job) {
  const JobSpec& spec = job.spec();
  for (std::uint32_t left = std::min(job.to_try(), draft_.team_room(spec)); left > 0; --left) {
    if (MachineSlot* slot = best_slot(spec)) {
      draft_.commit(*slot, spec);
    } else if (!preemption_.make_room(job)) {
      return;
    }
  }
}

MachineSlot* ServicePlacement::best_slot(const JobSpec& job) {
  MachineSlot* best = nullptr;
  double least = 0;
  for (auto& slot : draft_.slots()) {
    if (!draft_.fits(slot, job)) continue;
    const double delay = delay_s(job, slot);
    if (best != nullptr && delay >= least) continue;
    best = &slot;
    least = delay;
  }
  return best;
}

double ServicePlacement::delay_s(const JobSpec& job, const MachineSlot& slot) const {
  const Machine& machine = *slot.machine;
  const PlanningContext& context = draft_.context();
  const double arrays_share = static_cast<double>(slot.for_arrays.cpus) /
                              static_cast<double>(std::max<std::int64_t>(1, machine.size.cpus));
  double delay = constants::pack_worth_reports * context.report_s * arrays_share;
  delay += constants::zone_worth_reports * context.report_s *
           draft_.class_share(job.job_class, machine.zone);
  // The start goes with the answer to its next report.
  delay += std::clamp(machine.heard_s + context.report_s - context.now_s, 0.0, context.report_s);
  if (!machine.holds(job.image)) {
    const auto fetches = slot.fetching.size() + (slot.fetches(job.image) ? 0 : 1);
    delay += job.image_gb / machine.fetch_gb_per_s * static_cast<double>(fetches);
  }
  return delay;
}

}  // namespace poppystile::planning
