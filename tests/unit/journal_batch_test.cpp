/// \file
/// The segment queue, the snapshot schedule and the batches of the journal, without a state
/// service.
#include <gtest/gtest.h>

#include <string>

#include "constants.hpp"
#include "coordination/journal/journal_record.hpp"
#include "coordination/journal/segment_queue.hpp"
#include "coordination/journal/snapshot_schedule.hpp"

namespace poppystile::coordination {
namespace {

using storage::JournalHead;

constexpr std::uint64_t token = 41;
constexpr std::size_t max_elements = 64;
constexpr std::size_t max_bytes = 7000;

TEST(SegmentQueueTest, SealsAppendedEntriesIntoNumberedSegments) {
  SegmentQueue queue;
  queue.begin_term(8);
  EXPECT_EQ(queue.append(storage::MachineRemoved{"n-1"}, max_elements), 1u);
  EXPECT_EQ(queue.append(storage::MachineRemoved{"n-2"}, max_elements), 2u);
  EXPECT_EQ(queue.first_queued(), 8u);
  const std::size_t bytes = queue.seal(token, max_bytes, 0);
  ASSERT_EQ(queue.segments().size(), 1u);
  const JournalRecord& segment = queue.segments().front();
  EXPECT_EQ(segment.key, "journal/log/8");
  EXPECT_EQ(segment.value, R"({"n":8,"t":41,"v":2,"e":[["g","n-1"],["g","n-2"]]})");
  EXPECT_EQ(segment.log_position, 2u);
  EXPECT_EQ(bytes, segment.value.size());
  EXPECT_EQ(queue.first_queued(), 8u);
  EXPECT_EQ(queue.next_number(), 9u);
}

TEST(SegmentQueueTest, OnlyTheLastSealedSegmentGetsTheAppendedPosition) {
  SegmentQueue queue;
  queue.begin_term(1);
  for (int i = 0; i < 3; ++i) queue.append(storage::MachineRemoved{"n-1"}, max_elements);
  queue.seal(token, 12, 1);  // 12 bytes hold one entry.
  ASSERT_EQ(queue.segments().size(), 3u);
  EXPECT_EQ(queue.segments()[0].log_position, 1u);
  EXPECT_EQ(queue.segments()[1].log_position, 1u);
  EXPECT_EQ(queue.segments()[2].log_position, 3u);
}

TEST(SegmentQueueTest, SealsNoSegmentWithoutEntries) {
  SegmentQueue queue;
  queue.begin_term(1);
  EXPECT_EQ(queue.seal(token, max_bytes, 0), 0u);
  EXPECT_TRUE(queue.segments().empty());
}

TEST(SnapshotScheduleTest, IsDueAfterManyBytesOrManySegments) {
  SnapshotSchedule snapshots;
  snapshots.begin_term(JournalHead{3, 2, 8}, 0);
  EXPECT_FALSE(snapshots.is_due(9));
  EXPECT_FALSE(snapshots.is_due(8 + constants::min_segments_after_snapshot / 2 - 1));
  EXPECT_TRUE(snapshots.is_due(8 + constants::min_segments_after_snapshot / 2));
  snapshots.on_segment_sealed(constants::min_journal_bytes_before_snapshot - 1);
  EXPECT_FALSE(snapshots.is_due(9));
  snapshots.on_segment_sealed(1);
  EXPECT_TRUE(snapshots.is_due(9));
}

TEST(SnapshotScheduleTest, HeadIsDueOnlyAfterEveryChunk) {
  SnapshotSchedule snapshots;
  snapshots.begin_term(JournalHead{3, 2, 8}, constants::min_journal_bytes_before_snapshot);
  EXPECT_FALSE(snapshots.is_head_due());
  snapshots.start({{R"(["g","n-1"])"}, {R"(["g","n-2"])"}}, 20, token);
  EXPECT_FALSE(snapshots.is_due(9));
  ASSERT_EQ(snapshots.chunks().size(), 2u);
  EXPECT_EQ(snapshots.chunks()[1].key, "journal/snap/0/1");
  EXPECT_EQ(snapshots.chunks()[1].value, R"({"n":4,"t":41,"v":2,"e":[["g","n-2"]]})");
  EXPECT_FALSE(snapshots.is_head_due());
  snapshots.chunks().clear();
  ASSERT_TRUE(snapshots.is_head_due());
  EXPECT_EQ(snapshots.next_head_record().key, "journal/head");
  EXPECT_EQ(snapshots.next_head_record().value, R"({"from":20,"gen":4,"parts":2,"v":2})");
  EXPECT_EQ(snapshots.segments_since(21), 13u);
  snapshots.on_head_committed();
  EXPECT_EQ(snapshots.segments_since(21), 1u);
  EXPECT_FALSE(snapshots.is_head_due());
}

TEST(SnapshotScheduleTest, AbandoningASnapshotKeepsTheCommittedOne) {
  SnapshotSchedule snapshots;
  snapshots.begin_term(JournalHead{3, 2, 8}, 0);
  snapshots.start({{R"(["g","n-1"])"}}, 20, token);
  snapshots.abandon();
  EXPECT_TRUE(snapshots.chunks().empty());
  EXPECT_FALSE(snapshots.is_head_due());
  EXPECT_EQ(snapshots.segments_since(20), 12u);
}

TEST(SnapshotScheduleTest, LargeSnapshotsAllowMoreSegmentsAndMoreChunksPerWrite) {
  SnapshotSchedule snapshots;
  snapshots.begin_term({}, 0);
  EXPECT_EQ(snapshots.max_segments_since(), constants::min_segments_after_snapshot);
  EXPECT_EQ(snapshots.max_chunks_per_write(), constants::min_snapshot_chunks_per_write);
  snapshots.start(std::vector<std::vector<std::string>>(1000, {R"(["g","n-1"])"}), 1, token);
  EXPECT_EQ(snapshots.max_segments_since(), constants::journal_ring_segments);
  EXPECT_EQ(snapshots.max_chunks_per_write(), 4u);
}

TEST(JournalBatchTest, StaysWithinTheTransactionLimits) {
  JournalBatch batch;
  JournalRecord large_record;
  large_record.value = std::string(constants::max_transaction_bytes + 1, ' ');
  EXPECT_TRUE(batch.fits(large_record, 1));
  JournalRecord half_size_record;
  half_size_record.value = std::string(constants::max_transaction_bytes / 2, ' ');
  batch.add(half_size_record);
  EXPECT_FALSE(batch.fits(half_size_record, 1));
  EXPECT_TRUE(batch.fits(half_size_record, 2));
  EXPECT_FALSE(batch.fits(large_record, 2));
  batch.clear();
  EXPECT_TRUE(batch.empty());
  EXPECT_TRUE(batch.fits(large_record, 2));
}

TEST(JournalBatchTest, GroupsEntriesByRecordSize) {
  const std::vector<storage::JournalEntry> entries(3, storage::MachineRemoved{"n-1"});
  const auto groups = group_by_record_size(entries, 23);  // 23 bytes hold two entries and a comma.
  ASSERT_EQ(groups.size(), 2u);
  EXPECT_EQ(groups[0].size(), 2u);
  EXPECT_EQ(groups[1].size(), 1u);
}

}  // namespace
}  // namespace poppystile::coordination
