// Replay of journal entries and of the journal's records.
#include <gtest/gtest.h>

#include "constants.hpp"
#include "simulation/test_clock.hpp"
#include "storage/journal_codec.hpp"
#include "storage/journal_replay.hpp"

namespace poppystile::storage {
namespace {

using protocol::DecodeError;

std::vector<JournalEntry> merged(const std::vector<JournalEntry>& entries) {
  std::vector<JournalEntry> result;
  for (const JournalEntry& entry : entries)
    if (result.empty() ||
        !merge_entries(result.back(), entry, constants::max_journal_entry_elements))
      result.push_back(entry);
  return result;
}

ReplayedState replay(const std::vector<JournalEntry>& entries) {
  ReplayedState result;
  for (const JournalEntry& entry : entries) result.apply(entry);
  return result;
}

std::vector<std::string> encoded(const std::vector<JournalEntry>& entries) {
  std::vector<std::string> result;
  result.reserve(entries.size());
  for (const JournalEntry& entry : entries) result.push_back(encode(entry).dump());
  return result;
}

const std::vector<JournalEntry> sample_entries = {
    MachineRegistered{"n-1", "g", "a", false, 0, wall_at(5)},
    MachineRegistered{"n-2", "g", "b", true, 0, wall_at(6)},
    IncarnationStarted{"n-1", 1},
    IncarnationStarted{"n-2", 1},
    TaskPlaced{"req-1", 7, {{"n-1", {0, 0}}}},
    TaskPlaced{"req-1", 7, {{"n-1", {1, 1}}}},
    TaskPlaced{"req-1", 7, {{"n-2", {2, 2}}}},
    ImageCached{"n-1", {"img", 2.5}},
    TaskFinished{"req-1", {{0, 0}}},
    PlacementEnded{"req-1", {{2, 2}}},
    TaskPlaced{"req-1", 9, {{"n-1", {2, 2}}}},
    RentalRequested{"h-1-1", {"g", "a", true, 4}},
    RentalRequested{"h-1-2", {"g", "b", false, 2}},
    RentalSettled{"h-1-1"}};

TEST(Journal, ReplayRestoresTheLatestState) {
  const ReplayedState replayed = replay(sample_entries);
  const ReplayedJob& job = replayed.jobs.at("req-1");
  EXPECT_TRUE(job.is_finished(0));
  EXPECT_EQ(job.placed.at(1).machine, "n-1");
  EXPECT_EQ(job.placed.at(2).machine, "n-1");
  EXPECT_EQ(job.placed.at(2).attempt, 9u);
  EXPECT_EQ(replayed.machines.at("n-1").tasks.size(), 2u);
  EXPECT_TRUE(replayed.machines.at("n-2").tasks.empty());
  EXPECT_EQ(replayed.machines.at("n-1").images.at(0).name, "img");
  EXPECT_EQ(replayed.rentals.size(), 1u);
}

TEST(Journal, MergedEntriesReplayToTheSameState) {
  const auto merged_entries = merged(sample_entries);
  EXPECT_LT(merged_entries.size(), sample_entries.size());
  const ReplayedState original = replay(sample_entries);
  const ReplayedState from_merged = replay(merged_entries);
  EXPECT_EQ(original.jobs.at("req-1").finished, from_merged.jobs.at("req-1").finished);
  ASSERT_EQ(original.jobs.at("req-1").placed.size(), from_merged.jobs.at("req-1").placed.size());
  for (const auto& [index, task] : original.jobs.at("req-1").placed)
    EXPECT_EQ(from_merged.jobs.at("req-1").placed.at(index).attempt, task.attempt);
}

TEST(Journal, ANewIncarnationOrARemovalEndsAllPlacementsOfTheMachine) {
  auto entries = sample_entries;
  entries.emplace_back(IncarnationStarted{"n-1", 2});
  EXPECT_TRUE(replay(entries).jobs.at("req-1").placed.empty());
  EXPECT_EQ(replay(entries).machines.at("n-1").incarnation, 2u);
  entries = sample_entries;
  entries.emplace_back(MachineRemoved{"n-1"});
  EXPECT_TRUE(replay(entries).jobs.at("req-1").placed.empty());
  EXPECT_FALSE(replay(entries).machines.contains("n-1"));
}

TEST(Journal, AFinishedTaskIsNeverPlacedAgain) {
  auto entries = sample_entries;
  entries.emplace_back(TaskPlaced{"req-1", 12, {{"n-2", {0, 0}}}});
  EXPECT_FALSE(replay(entries).jobs.at("req-1").placed.contains(0));
}

TEST(Journal, BitmapsRoundTrip) {
  std::vector<bool> bits(131);
  for (std::size_t i = 0; i < bits.size(); i += 3) bits[i] = true;
  const ReplayedState replayed = replay({FinishedBitmap{"req-1", 16, bits}});
  for (std::uint32_t i = 0; i < 160; ++i)
    EXPECT_EQ(replayed.jobs.at("req-1").is_finished(i), i >= 16 && i < 147 && (i - 16) % 3 == 0);
}

JournalReplay replay_of(const std::vector<std::pair<std::string, std::string>>& records) {
  JournalReplay journal;
  for (const auto& [key, value] : records) journal.add(key, protocol::parse_object(value));
  return journal;
}

TEST(Journal, ASnapshotReplacesEarlierSegments) {
  const std::string head = encode(JournalHead{3, 1, 7}).dump();
  const auto journal = replay_of(
      {{keys::journal_head, head},
       {snapshot_key(3, 0),
        encode_chunk(3, 2, encoded({MachineRegistered{"n-1", "g", "a", false, 1, wall_at(5)}}))},
       {snapshot_key(2, 0),
        encode_chunk(2, 2, encoded({MachineRegistered{"n-9", "g", "a", false, 1, wall_at(5)}}))},
       {segment_key(6), encode_chunk(6, 2, encoded({MachineRemoved{"n-1"}}))},
       {segment_key(7), encode_chunk(7, 2, encoded({TaskPlaced{"req-1", 4, {{"n-1", {0, 0}}}}}))}});
  const ReplayedState replayed = journal.replay();
  EXPECT_TRUE(replayed.machines.contains("n-1"));
  EXPECT_FALSE(replayed.machines.contains("n-9"));
  EXPECT_EQ(replayed.machines.at("n-1").tasks.size(), 1u);
  EXPECT_EQ(journal.last_segment(), 7u);
}

// A damaged journal must fail the replay: read as an empty one, it would let tasks be placed twice.
TEST(Journal, MissingOrUnknownRecordsAreRejected) {
  const auto segment = [](std::uint64_t number) {
    return std::make_pair(segment_key(number),
                          encode_chunk(number, 1, encoded({MachineRemoved{"n-1"}})));
  };
  EXPECT_NO_THROW(replay_of({segment(1), segment(2)}).replay());
  EXPECT_THROW(replay_of({segment(1), segment(3)}).replay(), DecodeError);
  EXPECT_THROW(replay_of({segment(2)}).replay(), DecodeError);
  EXPECT_THROW(replay_of({{keys::journal_head, encode(JournalHead{3, 1, 7}).dump()}}).replay(),
               DecodeError);
  EXPECT_THROW(replay_of({{segment_key(1), R"({"v":1,"n":1,"t":1,"e":[]})"}}), DecodeError);
  EXPECT_THROW(replay_of({{"journal/else", R"({"v":2})"}}), DecodeError);
  EXPECT_THROW(decode_entry(Json::array({"z", "n-1"})), DecodeError);
  EXPECT_THROW(decode_entry(Json::array({"p", "req-1", 3})), DecodeError);
  EXPECT_THROW(decode_entry(Json::array({"p", "req-1", 3, Json::array({"n-1", 4, 2})})),
               DecodeError);
}

}  // namespace
}  // namespace poppystile::storage
