/// \file
/// The result of replaying the journal: the machines, placements, finished tasks and unsettled
/// rental requests recorded by former leaders.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "clock.hpp"
#include "storage/journal_entry.hpp"
#include "storage/records.hpp"

namespace poppystile::storage {

struct ReplayedPlacement {
  std::string machine;
  std::uint64_t attempt = 0;
};

struct ReplayedJob {
  std::map<std::uint32_t, ReplayedPlacement> placed;  // By task index.
  std::vector<bool> finished;                         // By task index; missing elements are false.

  bool is_finished(std::uint32_t index) const { return index < finished.size() && finished[index]; }
};

struct ReplayedMachine {
  std::string type;
  std::string zone;
  bool spot = false;
  std::uint64_t incarnation = 0;  // 0: no heartbeat was received.
  WallTime rented_at;
  std::vector<CachedImage> images;                        // Least recently used first.
  std::set<std::pair<std::string, std::uint32_t>> tasks;  // Job and task index.
};

/// Replays entries one at a time. Each placement is both in `placed` of its job and in `tasks` of
/// its machine.
struct ReplayedState {
  std::map<std::string, ReplayedMachine> machines;
  std::map<std::string, ReplayedJob> jobs;
  std::map<std::string, RentalRecord> rentals;  // Unsettled requests by name.

  /// Applies one entry. Entries that were applied before may be applied again if all entries that
  /// followed them are applied again, too, in the same order: the result is the same.
  void apply(const JournalEntry& entry);

 private:
  void apply_entry(const MachineRegistered& entry);
  void apply_entry(const IncarnationStarted& entry);
  void apply_entry(const MachineRemoved& entry);
  void apply_entry(const ImageCached& entry);
  void apply_entry(const TaskPlaced& entry);
  void apply_entry(const PlacementEnded& entry);
  void apply_entry(const TaskFinished& entry);
  void apply_entry(const FinishedBitmap& entry);
  void apply_entry(const RentalRequested& entry);
  void apply_entry(const RentalSettled& entry);
  void remove_placements(ReplayedMachine& machine);
  void remove_placement(const std::string& job, std::uint32_t index);
};

}  // namespace poppystile::storage
