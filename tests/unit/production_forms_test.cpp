/// \file
/// Stored records and peer frames of arrays and services, in the exact form that the version in
/// production (commit 94473f9, `production` in deploy/service.toml) writes. During an upgrade both
/// versions run at the same time and read each other's data, so this version must read these
/// samples and write the same bytes. The samples were recorded and verified with the sources of
/// that commit.
#include <gtest/gtest.h>

#include "protocol/peer_messages.hpp"
#include "protocol/submission.hpp"
#include "simulation/test_clock.hpp"
#include "storage/journal_codec.hpp"
#include "storage/journal_replay.hpp"
#include "storage/records.hpp"

namespace poppystile {
namespace {

using storage::Json;

constexpr const char* array_record =
    R"({"at":1700000000.25,"cancelled":false,"job":{"builds":["g8","c4"],"bundle":"img-07",)"
    R"("cores":8.0,"crew":"vision","due_s":900.0,"gpus":1.0,"guess_s":240.0,"id":"req-000412",)"
    R"("lane":"train","loaners":true,"mark_cost_s":4.0,"mark_every_s":30.0,"one_zone":true,)"
    R"("pieces":16,"pull_gb":6.2,"ram_gb":64.0,"rank":"high","scatter":false,"shape":"sweep",)"
    R"("yard":"a"},"v":1})";
constexpr const char* service_record =
    R"({"at":1700000001.0,"cancelled":true,"job":{"bundle":"img-01","cores":4.0,"crew":"ops",)"
    R"("gpus":0.0,"guess_s":0.0,"id":"req-000007","lane":"mirror","loaners":false,)"
    R"("mark_cost_s":0.0,"mark_every_s":0.0,"one_zone":false,"pieces":1,"pull_gb":2.5,)"
    R"("ram_gb":6.7,"rank":"production","scatter":false,"shape":"standing"},"v":1})";

TEST(ProductionForms, JobRecordsKeepTheirStoredForm) {
  for (const char* stored : {array_record, service_record}) {
    const storage::JobRecord record = storage::decode_job(Json::parse(stored));
    EXPECT_EQ(storage::encode(record).dump(), stored);
  }
  const auto array = storage::decode_job(Json::parse(array_record));
  EXPECT_EQ(array.spec.kind, protocol::JobKind::array);
  EXPECT_EQ(array.spec.tasks, 16u);
  EXPECT_EQ(storage::decode_job(Json::parse(service_record)).spec.kind, protocol::JobKind::service);
}

TEST(ProductionForms, SmallRecordsAndKeysKeepTheirStoredForm) {
  EXPECT_EQ(storage::encode(storage::LeaderRecord{"stile-1", 41}).dump(),
            R"({"name":"stile-1","token":41,"v":1})");
  EXPECT_EQ(storage::encode_token(41).dump(), R"({"token":41,"v":1})");
  EXPECT_EQ(storage::encode_final_state(protocol::JobState::done).dump(), R"({"done":true,"v":1})");
  EXPECT_EQ(storage::encode_final_state(protocol::JobState::cancelled).dump(),
            R"({"done":false,"v":1})");
  EXPECT_EQ(storage::job_key("req-7"), "shared/job/req-7");
  EXPECT_EQ(storage::final_record_key("req-7"), "shared/over/req-7");
  EXPECT_EQ(storage::keys::leader, "shared/ctl/leader");
  EXPECT_EQ(storage::keys::token, "shared/ctl/token");
  EXPECT_EQ(storage::keys::catalog, "shared/catalog");
}

constexpr const char* segment =
    R"({"n":8,"t":41,"v":2,"e":[["m","n-000001","g8","a",false,0,1700000000.5],)"
    R"(["s","n-000001",3],["i","n-000001","img-07",6.2],)"
    R"(["p","req-000412",687865857,["n-000001",0,0]],["e","req-000412",[0,0]],)"
    R"(["d","req-000412",[1,1]],["b","req-000412",4,"b0"],)"
    R"(["h","h-41-1","g8","a",true,12],["x","h-41-1"],["g","n-000002"]]})";

TEST(ProductionForms, JournalRecordsKeepTheirStoredForm) {
  using namespace storage;
  const std::vector<JournalEntry> entries = {
      MachineRegistered{"n-000001", "g8", "a", false, 0, wall_at(1700000000.5)},
      IncarnationStarted{"n-000001", 3},
      ImageCached{"n-000001", {"img-07", 6.2}},
      TaskPlaced{"req-000412", (std::uint64_t{41} << 24) + 1, {{"n-000001", {0, 0}}}},
      PlacementEnded{"req-000412", {{0, 0}}},
      TaskFinished{"req-000412", {{1, 1}}},
      FinishedBitmap{"req-000412", 4, {true, true, false, true, false}},
      RentalRequested{"h-41-1", {"g8", "a", true, 12}},
      RentalSettled{"h-41-1"},
      MachineRemoved{"n-000002"}};
  std::vector<std::string> encoded_entries;
  encoded_entries.reserve(entries.size());
  for (const JournalEntry& each : entries) encoded_entries.push_back(encode(each).dump());
  EXPECT_EQ(encode_chunk(8, 41, encoded_entries), segment);
  EXPECT_EQ(encode(JournalHead{3, 2, 8}).dump(), R"({"from":8,"gen":3,"parts":2,"v":2})");
  EXPECT_EQ(segment_key(5), "journal/log/5");
  EXPECT_EQ(snapshot_key(3, 1), "journal/snap/1/1");
}

TEST(ProductionForms, AStoredJournalIsReplayed) {
  using namespace storage;
  JournalReplay journal;
  journal.add(keys::journal_head, Json::parse(R"({"from":8,"gen":3,"parts":1,"v":2})"));
  journal.add("journal/snap/1/0",
              Json::parse(R"({"n":3,"t":40,"v":2,"e":[["m","n-000001","g8","a",false,2,1.7e9],)"
                          R"(["p","req-000412",671088641,["n-000001",2,3]]]})"));
  journal.add("journal/log/8", Json::parse(segment));
  const ReplayedState replayed = journal.replay();
  ASSERT_TRUE(replayed.machines.contains("n-000001"));
  EXPECT_EQ(replayed.machines.at("n-000001").incarnation, 3u);
  EXPECT_EQ(replayed.machines.at("n-000001").images.at(0).name, "img-07");
  EXPECT_TRUE(replayed.jobs.at("req-000412").placed.empty());
  EXPECT_TRUE(replayed.jobs.at("req-000412").is_finished(1));
  EXPECT_TRUE(replayed.jobs.at("req-000412").is_finished(7));
  EXPECT_TRUE(replayed.rentals.empty());
}

std::string hex(const std::string& bytes) {
  std::string out;
  for (const unsigned char each : bytes) {
    constexpr const char* digits = "0123456789abcdef";
    out += digits[each >> 4];
    out += digits[each & 15];
  }
  return out;
}

TEST(ProductionForms, PeerFramesKeepTheirForm) {
  protocol::PeerStatus status;
  status.name = "stile-1";
  status.incarnation = 77;
  status.started_at = wall_at(1024);
  status.token = 41;
  status.is_leader = true;
  status.sent_at = wall_at(2048);
  status.state_contact_at = wall_at(2047);
  status.fresh_as_of_wall = wall_at(2046);
  status.redirected_heartbeats = 12;
  status.counts = {{"req-000412", 5, 6}};
  status.cancelled = {"req-000007"};
  const std::string frame = protocol::encode_peer_status(status);
  EXPECT_EQ(hex(frame),
            "8d1b0000000000000004677374696c652d311b000000000000004dfb40900000000000001b0000000000"
            "0000291b0000000000000001fb40a0000000000000fb409ffc0000000000fb409ff800000000001b0000"
            "00000000000c836a7265712d3030303431321b00000000000000051b0000000000000006816a7265712d"
            "3030303030371b0000000000000001");
  const auto read = protocol::decode_peer_status(frame);
  ASSERT_TRUE(read.has_value());
  EXPECT_EQ(read->counts.at(0).running, 6u);
}

}  // namespace
}  // namespace poppystile
