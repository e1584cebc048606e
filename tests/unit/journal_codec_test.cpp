/// \file
/// The stored form of journal entries, and how entries are merged.
#include "storage/journal_codec.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "simulation/test_clock.hpp"

namespace poppystile::storage {
namespace {

constexpr std::size_t max_elements = 64;

std::string encoded(const JournalEntry& entry) { return encode(entry).dump(); }

TaskPlaced placed(const std::string& machine, std::uint32_t index, std::uint64_t attempt = 7) {
  return {"req-1", attempt, {{machine, IndexRange::single(index)}}};
}

std::string merge_all(const std::vector<JournalEntry>& entries, std::size_t max = max_elements) {
  std::vector<JournalEntry> merged;
  for (const auto& each : entries)
    if (merged.empty() || !merge_entries(merged.back(), each, max)) merged.push_back(each);
  std::string out;
  for (const auto& each : merged) out += encoded(each);
  return out;
}

TEST(JournalCodecTest, EveryKindOfEntryRoundTrips) {
  const std::vector<JournalEntry> entries = {
      MachineRegistered{"n-1", "g", "a", true, 3, wall_at(5.25)},
      IncarnationStarted{"n-1", 4},
      MachineRemoved{"n-1"},
      ImageCached{"n-1", {"img", 2.5}},
      TaskPlaced{"req-1", 7, {{"n-1", {0, 3}}, {"n-2", {4, 4}}}},
      PlacementEnded{"req-1", {{0, 1}, {3, 3}}},
      TaskFinished{"req-1", {{2, 2}}},
      FinishedBitmap{"req-1", 8, {true, false, true, true}},
      RentalRequested{"h-1-1", {"g", "a", true, 4}},
      RentalSettled{"h-1-1"}};
  ASSERT_EQ(entries.size(), std::variant_size_v<JournalEntry>);
  for (const auto& each : entries) {
    const JournalEntry read = decode_entry(Json::parse(encoded(each)));
    EXPECT_EQ(read.index(), each.index());
    EXPECT_EQ(encoded(read), encoded(each));
  }
}

TEST(JournalCodecTest, MalformedEntriesAreRejected) {
  for (const char* stored :
       {R"({})", R"([])", R"(["m"])", R"(["z","n-1"])", R"(["s","n-1"])", R"(["s","n-1",-1])",
        R"(["e","req-1",[4,2]])", R"(["e","req-1",[1]])", R"(["b","req-1",0,"xy"])",
        R"(["i","n-1","img","large"])", R"(["d","req-1",[0,99999999]])"})
    EXPECT_THROW(decode_entry(Json::parse(stored)), protocol::DecodeError) << stored;
}

TEST(JournalCodecTest, ConsecutiveTasksOfOneMachineBecomeOneRange) {
  EXPECT_EQ(merge_all({placed("n-1", 0), placed("n-1", 1), placed("n-2", 2), placed("n-2", 4)}),
            R"(["p","req-1",7,["n-1",0,1],["n-2",2,2],["n-2",4,4]])");
}

TEST(JournalCodecTest, AnotherAttemptJobOrKindBeginsANewEntry) {
  EXPECT_EQ(merge_all({placed("n-1", 0), placed("n-1", 1, 8)}),
            R"(["p","req-1",7,["n-1",0,0]]["p","req-1",8,["n-1",1,1]])");
  EXPECT_EQ(merge_all({PlacementEnded{"req-1", {{0, 0}}}, PlacementEnded{"req-2", {{1, 1}}}}),
            R"(["e","req-1",[0,0]]["e","req-2",[1,1]])");
  EXPECT_EQ(merge_all({PlacementEnded{"req-1", {{0, 0}}}, TaskFinished{"req-1", {{1, 1}}}}),
            R"(["e","req-1",[0,0]]["d","req-1",[1,1]])");
  EXPECT_EQ(merge_all({MachineRemoved{"n-1"}, MachineRemoved{"n-1"}}), R"(["g","n-1"]["g","n-1"])");
}

TEST(JournalCodecTest, AMergedEntryNeverExceedsTheElementLimit) {
  const std::vector<JournalEntry> ends = {PlacementEnded{"req-1", {{0, 0}}},
                                          PlacementEnded{"req-1", {{2, 2}}},
                                          PlacementEnded{"req-1", {{3, 3}}}};
  EXPECT_EQ(merge_all(ends, 5), R"(["e","req-1",[0,0],[2,3]])");
  // In a full entry, the last range is not extended either.
  EXPECT_EQ(merge_all(ends, 4), R"(["e","req-1",[0,0],[2,2]]["e","req-1",[3,3]])");
  EXPECT_EQ(merge_all(ends, 1), R"(["e","req-1",[0,0]]["e","req-1",[2,2]]["e","req-1",[3,3]])");
}

}  // namespace
}  // namespace poppystile::storage
