#include "cluster/snapshot.hpp"

#include <algorithm>
#include <utility>

namespace poppystile::cluster {

using storage::FinishedBitmap;
using storage::ImageCached;
using storage::IndexRange;
using storage::JournalEntry;
using storage::MachineRegistered;
using storage::RentalRecord;
using storage::RentalRequested;
using storage::TaskPlaced;

namespace {

// Collects entries, merging each into the previous one where possible.
class EntryList {
 public:
  explicit EntryList(std::size_t max_elements) : max_elements_(max_elements) {}

  void add(JournalEntry entry) {
    if (entries_.empty() || !storage::merge_entries(entries_.back(), entry, max_elements_))
      entries_.push_back(std::move(entry));
  }

  std::vector<JournalEntry> take() { return std::move(entries_); }

 private:
  std::size_t max_elements_;
  std::vector<JournalEntry> entries_;
};

void add_machine(EntryList& entries, const Machine& machine) {
  entries.add(MachineRegistered{machine.id, machine.type, machine.zone, machine.spot,
                                machine.incarnation, machine.rented_at});
  for (const auto& image : machine.images) entries.add(ImageCached{machine.id, image});
  for (const auto& placement : machine.placements)
    if (placement.phase != PlacementPhase::exited)
      entries.add(TaskPlaced{
          placement.job, placement.attempt, {{machine.id, IndexRange::single(placement.index)}}});
}

void add_finished(EntryList& entries, const Job& job, std::size_t max_tasks) {
  if (job.finished == 0) return;
  for (std::size_t first = 0; first < job.phases.size(); first += max_tasks) {
    std::vector<bool> bits(std::min(job.phases.size() - first, max_tasks));
    for (std::size_t i = 0; i < bits.size(); ++i)
      bits[i] = job.phases[first + i] == TaskPhase::finished;
    entries.add(FinishedBitmap{job.spec().id, first, std::move(bits)});
  }
}

}  // namespace

std::vector<JournalEntry> snapshot_entries(const ClusterState& cluster_state,
                                           const std::map<std::string, RentalRecord>& rentals,
                                           const storage::EntryLimits& limits) {
  EntryList entries(limits.max_elements);
  for (const auto& [id, machine] : cluster_state.machines) add_machine(entries, machine);
  for (const auto& [id, job] : cluster_state.jobs)
    add_finished(entries, job, limits.max_bitmap_tasks);
  for (const auto& [name, record] : rentals) entries.add(RentalRequested{name, record});
  return entries.take();
}

}  // namespace poppystile::cluster
