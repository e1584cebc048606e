#include "cluster/snapshot.hpp"

#include <algorithm>

namespace poppystile::cluster {

using storage::finished_bitmap_entry;
using storage::image_cached_entry;
using storage::machine_registered_entry;
using storage::merge_entries;
using storage::rental_requested_entry;
using storage::task_placed_entry;

namespace {

class EntryList {
 public:
  explicit EntryList(std::size_t max_runs) : max_runs_(max_runs) {}
  void add(Json entry) {
    if (entries_.empty() || !merge_entries(entries_.back(), entry, max_runs_))
      entries_.push_back(std::move(entry));
  }
  std::vector<Json> take() { return std::move(entries_); }

 private:
  std::size_t max_runs_;
  std::vector<Json> entries_;
};

void add_machine(EntryList& out, const Machine& machine) {
  out.add(machine_registered_entry(machine.id, machine.type, machine.zone, machine.spot,
                                   machine.incarnation, machine.rented_at));
  for (const auto& image : machine.images) out.add(image_cached_entry(machine.id, image));
  for (const auto& each : machine.placements)
    if (each.phase != PlacementPhase::exited)
      out.add(task_placed_entry(each.job, each.attempt, machine.id, each.index));
}

void add_finished(EntryList& out, const Job& job, std::size_t max_tasks) {
  if (job.finished == 0) return;
  for (std::size_t first = 0; first < job.phases.size(); first += max_tasks) {
    std::vector<bool> bits(std::min(job.phases.size() - first, max_tasks));
    for (std::size_t i = 0; i < bits.size(); ++i)
      bits[i] = job.phases[first + i] == TaskPhase::finished;
    out.add(finished_bitmap_entry(job.spec().id, static_cast<std::uint32_t>(first), bits));
  }
}

}  // namespace

std::vector<Json> snapshot_entries(const ClusterState& cluster_state,
                                   const std::map<std::string, RentalRecord>& rentals,
                                   const EntryLimits& limits) {
  EntryList out(limits.max_runs);
  for (const auto& [id, machine] : cluster_state.machines) add_machine(out, machine);
  for (const auto& [id, job] : cluster_state.jobs) add_finished(out, job, limits.max_bitmap_tasks);
  for (const auto& [name, record] : rentals) out.add(rental_requested_entry(name, record));
  return out.take();
}

}  // namespace poppystile::cluster
