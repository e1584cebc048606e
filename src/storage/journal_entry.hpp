/// \file
/// The entries of the leader's journal: the state that a leader's successor needs besides the job
/// records. Entries are replayed in the order in which they were appended (replayed_state.hpp);
/// journal_codec.hpp defines their stored form.
///
/// One record of the journal contains all entries appended since the previous record, for any
/// number of machines, so the number of changes in the state service does not grow with the fleet.
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

/// Consecutive tasks of a job that were placed on one machine.
struct MachineRange {
  std::string machine;
  IndexRange indices;
};

/// A machine joined the fleet, or is part of a snapshot.
struct MachineRegistered {
  std::string machine;
  std::string type;
  std::string zone;
  bool spot = false;
  std::uint64_t incarnation = 0;  // The newest known incarnation; 0 before any heartbeat.
  WallTime rented_at;
};

/// The machine's worker began a new incarnation: tasks of earlier incarnations have left the
/// machine.
struct IncarnationStarted {
  std::string machine;
  std::uint64_t incarnation = 0;
};

/// The machine was released, failed or was reclaimed by the cloud: all its tasks have left it.
struct MachineRemoved {
  std::string machine;
};

/// The machine has the image in its cache and used it most recently.
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

/// Tasks are proven to have left their machines without finishing: they wait for a new placement.
struct PlacementEnded {
  std::string job;
  std::vector<IndexRange> tasks;
};

/// Tasks have finished and are never placed again.
struct TaskFinished {
  std::string job;
  std::vector<IndexRange> tasks;
};

/// The finished tasks among `bits.size()` consecutive tasks of a job. Tasks whose bit is not set
/// are unaffected.
struct FinishedBitmap {
  std::string job;
  std::uint64_t first = 0;  // Task index of the first bit.
  std::vector<bool> bits;
};

/// Machines will be requested from the cloud under this name.
struct RentalRequested {
  std::string name;
  RentalRecord rental;
};

/// The rental request with this name is complete: it was answered or abandoned.
struct RentalSettled {
  std::string name;
};

using JournalEntry =
    std::variant<MachineRegistered, IncarnationStarted, MachineRemoved, ImageCached, TaskPlaced,
                 PlacementEnded, TaskFinished, FinishedBitmap, RentalRequested, RentalSettled>;

/// Largest size of one entry, so that it fits into a record.
struct EntryLimits {
  std::size_t max_elements = 1;  // Elements of the stored list, including letter, job and attempt.
  std::size_t max_bitmap_tasks = 4;  // Bits of a `FinishedBitmap`.
};

/// Merges `next` into `last` if both are `TaskPlaced` of the same job and attempt, or both
/// `PlacementEnded` or both `TaskFinished` of the same job, and `last` has fewer than
/// `max_elements` elements in its stored list. `next` must contain exactly one range. Returns
/// false, and leaves `last` unchanged, if they were not merged.
bool merge_entries(JournalEntry& last, const JournalEntry& next, std::size_t max_elements);

}  // namespace poppystile::storage
