/// \file
/// The entries of the leader's journal: what a leader must leave to its successor besides the job
/// records. Entries are replayed in the order in which they were appended (replayed_state.hpp); how
/// they are stored is the codec's (journal_codec.hpp).
///
/// One record of the journal carries whatever happened since the one before, on any number of
/// machines, so the number of changes in the state service does not grow with the fleet.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "clock.hpp"
#include "storage/records.hpp"

namespace poppystile::storage {

/// Consecutive task indices of a job, both ends included.
struct IndexRange {
  std::uint32_t first = 0;
  std::uint32_t last = 0;

  /// The range of one index.
  static IndexRange single(std::uint32_t index) { return {index, index}; }
};

/// Consecutive tasks that were placed on one machine.
struct MachineRange {
  std::string machine;
  IndexRange indices;
};

/// A machine joined the fleet, or is described anew by a snapshot.
struct MachineRegistered {
  std::string machine;
  std::string type;
  std::string zone;
  bool spot = false;
  std::uint64_t incarnation = 0;  // the newest that is known; 0: its worker never reported
  WallTime rented_at;
};

/// The machine's worker started again: nothing of its earlier incarnations is left on the machine.
struct IncarnationStarted {
  std::string machine;
  std::uint64_t incarnation = 0;
};

/// The machine was released, failed or taken back: nothing of it is left.
struct MachineRemoved {
  std::string machine;
};

/// The machine has an image in its cache, and used it last.
struct ImageCached {
  std::string machine;
  CachedImage image;
};

/// Tasks of a job were placed on machines, all with the same attempt number.
struct TaskPlaced {
  std::string job;
  std::uint64_t attempt = 0;
  std::vector<MachineRange> placed;
};

/// Tasks are proven to be off their machines without having finished: they wait again.
struct PlacementEnded {
  std::string job;
  std::vector<IndexRange> tasks;
};

/// Tasks have finished and are never placed again.
struct TaskFinished {
  std::string job;
  std::vector<IndexRange> tasks;
};

/// The finished tasks of a job among `bits.size()` consecutive ones; the tasks whose bit is not set
/// are left as they are.
struct FinishedBitmap {
  std::string job;
  std::uint64_t first = 0;  // index of the task of the first bit
  std::vector<bool> bits;
};

/// Machines are about to be asked for under this name.
struct RentalRequested {
  std::string name;
  RentalRecord rental;
};

/// The request of this name needs no more attention: it was answered, or given up.
struct RentalSettled {
  std::string name;
};

using JournalEntry =
    std::variant<MachineRegistered, IncarnationStarted, MachineRemoved, ImageCached, TaskPlaced,
                 PlacementEnded, TaskFinished, FinishedBitmap, RentalRequested, RentalSettled>;

/// What one entry may carry at most, so that it fits a record.
struct EntryLimits {
  std::size_t max_elements = 1;      // of the stored list, with its letter, job and attempt
  std::size_t max_bitmap_tasks = 4;  // of a `FinishedBitmap`
};

/// Adds to `last` what `next` says when one entry can carry both: placements of the same job and
/// attempt, ends or finishes of the same job. `next` carries one range.
/// Returns false, and changes nothing, when one entry cannot carry both.
bool merge_entries(JournalEntry& last, const JournalEntry& next, std::size_t max_elements);

}  // namespace poppystile::storage
