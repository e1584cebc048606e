// The leader's journal: what it must leave to its successor besides the jobs themselves. Entries
// are written in order; replaying them gives a Ledger. A snapshot is the same entries once more,
// as few as describe the present. Pure: reading and writing is coordination's.
//
// One record of the journal carries whatever happened since the one before, on any number of
// machines, so the number of changes in the state service does not grow with the fleet.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "storage/records.hpp"

namespace poppystile::storage {

// Entries, ready to be written. Runs of indices are inclusive.
Json machine_registered_entry(const std::string& machine, const std::string& type,
                              const std::string& zone, bool spot, std::uint64_t incarnation,
                              WallTime rented_at);
// A later session: nothing of the earlier one is left on the machine.
Json incarnation_started_entry(const std::string& machine, std::uint64_t incarnation);
// Released, failed or taken: nothing is left.
Json machine_removed_entry(const std::string& machine);
Json image_cached_entry(const std::string& machine, const CachedImage& image);
Json task_placed_entry(const std::string& job, std::uint64_t attempt, const std::string& machine,
                       std::uint32_t index);
// Proven to be off its machine, not finished: it waits again.
Json placement_ended_entry(const std::string& job, std::uint32_t index);
Json task_finished_entry(const std::string& job, std::uint32_t index);
// The finished tasks of a job from `first` on, as a bitmap.
Json finished_bitmap_entry(const std::string& job, std::uint32_t first,
                           const std::vector<bool>& bits);
Json rental_requested_entry(const std::string& name, const RentalRecord& record);
Json rental_settled_entry(const std::string& name);

// Adds to `last` what `next` says when one entry can carry both; false when it cannot.
bool merge_entries(Json& last, const Json& next, std::size_t max_runs);

struct ReplayedPlacement {
  std::string machine;
  std::uint64_t attempt = 0;
};

struct ReplayedJob {
  std::map<std::uint32_t, ReplayedPlacement> placed;
  std::vector<bool> finished;
  bool is_finished(std::uint32_t index) const { return index < finished.size() && finished[index]; }
};

struct ReplayedMachine {
  std::string type;
  std::string zone;
  bool spot = false;
  std::uint64_t incarnation = 0;  // 0: never reported
  WallTime rented_at;
  std::vector<CachedImage> images;  // least recently used first
  std::set<std::pair<std::string, std::uint32_t>> tasks;
};

struct ReplayedState {
  std::map<std::string, ReplayedMachine> machines;
  std::map<std::string, ReplayedJob> jobs;
  std::map<std::string, RentalRecord> rentals;

  // Throws DecodeError for an entry it does not know or that makes no sense.
  void apply(const Json& entry);

 private:
  void empty_machine(ReplayedMachine& machine);
  void remove_placement(const std::string& job, std::uint32_t index);
};

// Records: a part of the journal with its number, a part of a snapshot, and the head that tells
// which snapshot counts and where reading goes on after it.
struct JournalChunk {
  std::uint64_t number = 0;  // of a segment; of a snapshot part: the snapshot's generation
  std::uint64_t token = 0;
  std::vector<Json> entries;
};

struct JournalHead {
  std::uint64_t generation = 0;
  std::uint64_t parts = 0;  // of the snapshot
  std::uint64_t from = 1;   // number of the first segment after it
};

std::string segment_key(std::uint64_t slot);
std::string snapshot_key(std::uint64_t generation, std::uint64_t part);
// `entries` are texts of entries; joined here without being parsed again.
std::string encode_chunk(std::uint64_t number, std::uint64_t token,
                         const std::vector<std::string>& entries);
JournalChunk decode_chunk(const Json& value);
Json encode(const JournalHead& head);
JournalHead decode_head(const Json& value);

// What a leader finds under `journal/`, in the order in which it is to be replayed.
class JournalReplay {
 public:
  // Throws DecodeError when anything needed cannot be read; then nothing may be believed.
  void add(const std::string& key, const Json& value);
  ReplayedState replay() const;
  bool empty() const { return head_.generation == 0 && segments_.empty(); }
  const JournalHead& head() const { return head_; }
  std::uint64_t last_segment() const { return segments_.empty() ? 0 : segments_.rbegin()->first; }

 private:
  JournalHead head_;  // as long as there is none, everything from the first segment on counts
  std::map<std::uint64_t, std::vector<Json>> segments_;
  std::map<std::pair<std::uint64_t, std::uint64_t>, std::vector<Json>> snapshots_;
};

}  // namespace poppystile::storage
