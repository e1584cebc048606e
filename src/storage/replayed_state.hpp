/// \file
/// What replaying the journal gives: the machines, placements and rentals that a former leader
/// left.
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
  std::map<std::uint32_t, ReplayedPlacement> placed;  // by task index
  std::vector<bool> finished;                         // may end before the job's last task

  bool is_finished(std::uint32_t index) const { return index < finished.size() && finished[index]; }
};

struct ReplayedMachine {
  std::string type;
  std::string zone;
  bool spot = false;
  std::uint64_t incarnation = 0;  // 0: never reported
  WallTime rented_at;
  std::vector<CachedImage> images;                        // least recently used first
  std::set<std::pair<std::string, std::uint32_t>> tasks;  // job and task index
};

/// Replays entries one by one. A placement is in both its job's and its machine's members.
struct ReplayedState {
  std::map<std::string, ReplayedMachine> machines;
  std::map<std::string, ReplayedJob> jobs;
  std::map<std::string, RentalRecord> rentals;

  /// Entries that were applied before may be applied once more if all that follow them are, in
  /// their order: the result is the same.
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
