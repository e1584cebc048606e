#include "storage/replayed_state.hpp"

#include <algorithm>

namespace poppystile::storage {

void ReplayedState::apply(const JournalEntry& entry) {
  std::visit([this](const auto& each) { apply_entry(each); }, entry);
}

void ReplayedState::apply_entry(const MachineRegistered& entry) {
  ReplayedMachine& machine = machines[entry.machine];
  machine.type = entry.type;
  machine.zone = entry.zone;
  machine.spot = entry.spot;
  machine.incarnation = std::max(machine.incarnation, entry.incarnation);
  machine.rented_at = entry.rented_at;
}

void ReplayedState::apply_entry(const IncarnationStarted& entry) {
  ReplayedMachine& machine = machines[entry.machine];
  machine.incarnation = std::max(machine.incarnation, entry.incarnation);
  remove_placements(machine);
}

void ReplayedState::apply_entry(const MachineRemoved& entry) {
  remove_placements(machines[entry.machine]);
  machines.erase(entry.machine);
}

void ReplayedState::apply_entry(const ImageCached& entry) {
  auto& images = machines[entry.machine].images;
  std::erase_if(images, [&](const CachedImage& each) { return each.name == entry.image.name; });
  images.push_back(entry.image);
}

void ReplayedState::apply_entry(const TaskPlaced& entry) {
  ReplayedJob& job = jobs[entry.job];
  for (const auto& [machine, indices] : entry.placed) {
    for (std::uint32_t index = indices.first; index <= indices.last; ++index) {
      remove_placement(entry.job, index);
      if (job.is_finished(index)) continue;
      job.placed[index] = {machine, entry.attempt};
      machines[machine].tasks.emplace(entry.job, index);
    }
  }
}

void ReplayedState::apply_entry(const PlacementEnded& entry) {
  jobs.try_emplace(entry.job);
  for (const IndexRange& range : entry.tasks)
    for (std::uint32_t index = range.first; index <= range.last; ++index)
      remove_placement(entry.job, index);
}

void ReplayedState::apply_entry(const TaskFinished& entry) {
  ReplayedJob& job = jobs[entry.job];
  for (const IndexRange& range : entry.tasks) {
    if (range.last >= job.finished.size()) job.finished.resize(range.last + 1);
    for (std::uint32_t index = range.first; index <= range.last; ++index) {
      remove_placement(entry.job, index);
      job.finished[index] = true;
    }
  }
}

void ReplayedState::apply_entry(const FinishedBitmap& entry) {
  auto& finished = jobs[entry.job].finished;
  if (finished.size() < entry.first + entry.bits.size())
    finished.resize(entry.first + entry.bits.size());
  for (std::size_t i = 0; i < entry.bits.size(); ++i)
    if (entry.bits[i]) finished[entry.first + i] = true;
}

void ReplayedState::apply_entry(const RentalRequested& entry) {
  rentals[entry.name] = entry.rental;
}

void ReplayedState::apply_entry(const RentalSettled& entry) { rentals.erase(entry.name); }

void ReplayedState::remove_placements(ReplayedMachine& machine) {
  for (const auto& [job, index] : machine.tasks) jobs[job].placed.erase(index);
  machine.tasks.clear();
}

void ReplayedState::remove_placement(const std::string& job, std::uint32_t index) {
  auto& placed = jobs[job].placed;
  const auto found = placed.find(index);
  if (found == placed.end()) return;
  const auto machine = machines.find(found->second.machine);
  if (machine != machines.end()) machine->second.tasks.erase({job, index});
  placed.erase(found);
}

}  // namespace poppystile::storage
