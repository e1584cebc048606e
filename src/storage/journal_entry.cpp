#include "storage/journal_entry.hpp"

namespace poppystile::storage {

namespace {

// Number of elements before the ranges in the stored list: letter, job and, for `TaskPlaced`,
// attempt.
constexpr std::size_t placed_header_elements = 3;
constexpr std::size_t ended_header_elements = 2;

bool extend(IndexRange& last, const IndexRange& next) {
  if (std::uint64_t{last.last} + 1 != next.first) return false;
  last.last = next.last;
  return true;
}

bool extend(MachineRange& last, const MachineRange& next) {
  return last.machine == next.machine && extend(last.indices, next.indices);
}

template <typename Range>
bool merge_ranges(std::vector<Range>& last, const std::vector<Range>& next,
                  std::size_t header_elements, std::size_t max_elements) {
  // Entries stay short, so that a record can always be split between two entries.
  if (header_elements + last.size() >= max_elements) return false;
  if (!extend(last.back(), next.back())) last.push_back(next.back());
  return true;
}

bool merge(TaskPlaced& last, const TaskPlaced& next, std::size_t max_elements) {
  return last.job == next.job && last.attempt == next.attempt &&
         merge_ranges(last.placed, next.placed, placed_header_elements, max_elements);
}

bool merge(PlacementEnded& last, const PlacementEnded& next, std::size_t max_elements) {
  return last.job == next.job &&
         merge_ranges(last.tasks, next.tasks, ended_header_elements, max_elements);
}

bool merge(TaskFinished& last, const TaskFinished& next, std::size_t max_elements) {
  return last.job == next.job &&
         merge_ranges(last.tasks, next.tasks, ended_header_elements, max_elements);
}

template <typename Entry>
bool merge_if_same_kind(JournalEntry& last, const JournalEntry& next, std::size_t max_elements) {
  Entry* const earlier = std::get_if<Entry>(&last);
  const Entry* const later = std::get_if<Entry>(&next);
  return earlier != nullptr && later != nullptr && merge(*earlier, *later, max_elements);
}

}  // namespace

bool merge_entries(JournalEntry& last, const JournalEntry& next, std::size_t max_elements) {
  return merge_if_same_kind<TaskPlaced>(last, next, max_elements) ||
         merge_if_same_kind<PlacementEnded>(last, next, max_elements) ||
         merge_if_same_kind<TaskFinished>(last, next, max_elements);
}

}  // namespace poppystile::storage
