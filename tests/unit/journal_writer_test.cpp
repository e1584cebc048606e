// The journal on a simulated state service: a leader may be replaced at any time, and each
// successor must read every durable entry and be able to continue writing.
#include "coordination/journal/journal_writer.hpp"

#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <tuple>

#include "constants.hpp"
#include "simulation/event_queue.hpp"
#include "simulation/fake_http_caller.hpp"
#include "simulation/state_service.hpp"
#include "simulation/test_clock.hpp"
#include "storage/journal_codec.hpp"

namespace poppystile::coordination {
namespace {

using storage::ReplayedState;

// One process of a controller; destroying it simulates a crash.
class LeaderProcess : public simulation::FakeHttpCaller {
 public:
  LeaderProcess(simulation::EventQueue& queue, simulation::StateService& service,
                const std::string& name, double lost_response_share)
      : FakeHttpCaller(queue, service, lost_response_share) {
    settings.name = name;
    settings.state_limits.rps = 250;
    settings.state_limits.write_rps = 40;
    settings.state_limits.txn_ops = 32;
    key_value_client.emplace(*this, *this, settings);
    shared_state.emplace(*this, *key_value_client);
    election.emplace(*this, *key_value_client, *shared_state, name, queue.random());
    journal.emplace(*this, *key_value_client, *election, settings);
    election->on_elected([this] {
      journal->load([this](std::optional<ReplayedState> found) {
        readable = found.has_value();
        if (found) replayed = *found;
        loaded = true;
      });
    });
    election->on_deposed([this] { deposed = true; });
    journal->on_snapshot([this] {
      std::vector<storage::JournalEntry> entries;
      for (const auto& [id, machine] : replayed.machines)
        entries.emplace_back(
            storage::MachineRegistered{id, "g", "a", false, machine.incarnation, wall_at(0)});
      return entries;
    });
    shared_state->start();
    election->start();
  }
  // Appends an entry and applies it to `replayed`, the state that a successor should replay.
  std::uint64_t append(const storage::JournalEntry& entry) {
    replayed.apply(storage::decode_entry(storage::Json::parse(storage::encode(entry).dump())));
    return journal->append(entry);
  }

  protocol::Settings settings;
  std::optional<KeyValueClient> key_value_client;
  std::optional<SharedStateCache> shared_state;
  std::optional<LeaderElection> election;
  std::optional<JournalWriter> journal;
  ReplayedState replayed;
  bool loaded = false, readable = false, deposed = false;
};

class JournalWriterTest : public testing::Test {
 protected:
  // Destroys the current leader, whatever it is doing, and starts a new one. Returns the new leader
  // when it has loaded the journal, or after 30 s.
  LeaderProcess& begin(double lost_response_share = 0) {
    current.reset();
    current = std::make_unique<LeaderProcess>(queue, service, "stile-0", lost_response_share);
    LeaderProcess& leader = *current;
    for (int i = 0; i < 3000 && !leader.loaded; ++i) queue.run_until(queue.now() + 0.01);
    return leader;
  }
  // Runs for `duration_s` seconds, or until the ring is full; calls `on_step` every 20 ms.
  void run(LeaderProcess& leader, double duration_s, const std::function<void()>& on_step) {
    const double until = queue.now() + duration_s;
    while (queue.now() < until && leader.journal->segments_since_snapshot() <
                                      leader.journal->max_segments_since_snapshot()) {
      on_step();
      leader.journal->pump();
      queue.run_until(queue.now() + 0.02);
    }
  }
  simulation::EventQueue queue{7};
  simulation::StateService service{queue, 250, 40, 32};
  std::unique_ptr<LeaderProcess> current;
};

// Guards against a ring that is full at a takeover and contains a segment sealed before the
// snapshot: it once blocked all later leaders permanently, so that no task was started any more.
TEST_F(JournalWriterTest, EverySuccessorReadsDurableEntriesAndContinuesWriting) {
  std::mt19937_64 random(3);
  std::uint64_t append_count = 0;
  std::map<std::string, std::uint64_t> durable;  // Newest durable incarnation by machine id.
  for (int round = 0; round < 25; ++round) {
    LeaderProcess& leader = begin(round % 3 == 2 ? 0.05 : 0);
    ASSERT_TRUE(leader.loaded && leader.readable) << "round " << round;
    for (const auto& [id, incarnation] : durable) {
      ASSERT_TRUE(leader.replayed.machines.contains(id)) << "round " << round;
      EXPECT_GE(leader.replayed.machines.at(id).incarnation, incarnation);
    }
    std::vector<std::tuple<std::uint64_t, std::string, std::uint64_t>> positions;
    const double duration_s = 1 + static_cast<double>(random() % 60);
    run(leader, duration_s, [&] {
      const std::string id = "n-" + std::to_string(random() % 40);
      const std::uint64_t incarnation = ++append_count;
      if (!leader.replayed.machines.contains(id))
        leader.append(storage::MachineRegistered{id, "g", "a", false, 0, wall_at(0)});
      positions.emplace_back(leader.append(storage::IncarnationStarted{id, incarnation}), id,
                             incarnation);
    });
    EXPECT_FALSE(leader.deposed) << "round " << round;
    std::size_t durable_count = 0;
    for (const auto& [position, id, incarnation] : positions) {
      if (!leader.journal->is_durable(position)) continue;
      ++durable_count;
      durable[id] = std::max(durable[id], incarnation);
    }
    EXPECT_GT(durable_count, 0u) << "round " << round;
  }
}

// A transaction of a former leader arrives after a takeover and writes a key that its successor
// has not written yet. Without the condition on the leader key it would be executed, and the
// successor would have to step down.
TEST_F(JournalWriterTest, DelayedTransactionOfAFormerLeaderChangesNothing) {
  LeaderProcess& former_leader = begin();
  former_leader.journal_write_delay = Seconds{12};
  former_leader.append(storage::MachineRegistered{"n-1", "g", "a", false, 0, wall_at(0)});
  former_leader.journal->pump();
  LeaderProcess& leader = begin();
  ASSERT_TRUE(leader.loaded);
  EXPECT_FALSE(leader.replayed.machines.contains("n-1"));
  run(leader, 15, [] {});
  const auto position =
      leader.append(storage::MachineRegistered{"n-2", "g", "a", false, 0, wall_at(0)});
  run(leader, 3, [] {});
  EXPECT_FALSE(leader.deposed);
  EXPECT_TRUE(leader.journal->is_durable(position));
}

// Executed transactions arrive a second time much later. Without conditions on the versions of
// their keys, an old head or segment would replace a newer one.
TEST_F(JournalWriterTest, RepeatedTransactionsChangeNothing) {
  LeaderProcess& leader = begin();
  leader.journal_duplicate_delay = Seconds{55};
  std::uint64_t append_count = 0;
  std::map<std::string, std::uint64_t> durable;
  std::deque<std::tuple<std::uint64_t, std::string, std::uint64_t>> positions;
  run(leader, 200, [&] {
    const std::string id = "n-" + std::to_string(append_count % 40);
    if (!leader.replayed.machines.contains(id))
      leader.append(storage::MachineRegistered{id, "g", "a", false, 0, wall_at(0)});
    const auto position = leader.append(storage::IncarnationStarted{id, ++append_count});
    positions.emplace_back(position, id, append_count);
    for (; !positions.empty() && leader.journal->is_durable(std::get<0>(positions.front()));
         positions.pop_front())
      durable[std::get<1>(positions.front())] = std::get<2>(positions.front());
  });
  EXPECT_FALSE(leader.deposed);
  LeaderProcess& successor = begin();
  ASSERT_TRUE(successor.loaded && successor.readable);
  for (const auto& [id, incarnation] : durable)
    EXPECT_GE(successor.replayed.machines.at(id).incarnation, incarnation);
}

// Entries must fit the current limits of the state service, which may be lowered at run time.
TEST_F(JournalWriterTest, EntriesFollowTheLimitsOfTheSettings) {
  LeaderProcess& leader = begin();
  EXPECT_EQ(leader.journal->entry_limits().max_elements, constants::max_journal_entry_elements);
  EXPECT_EQ(leader.journal->entry_limits().max_bitmap_tasks, 14744u);
  leader.settings.state_limits.value_kb = 2;
  EXPECT_EQ(leader.journal->entry_limits().max_elements, 46u);
  EXPECT_EQ(leader.journal->entry_limits().max_bitmap_tasks, 3684u);
}

// With a small value limit every transaction has many changes. The journal once used the whole
// write rate of the state service, which delayed final records by minutes.
TEST_F(JournalWriterTest, StaysWithinItsShareOfTheWriteRate) {
  LeaderProcess& leader = begin();
  leader.settings.state_limits = {250, 28, 2, 8};
  leader.key_value_client->set_share(1);
  const std::uint64_t before = service.changes();
  std::uint64_t append_count = 0;
  constexpr double duration_s = 30;
  run(leader, duration_s, [&] {
    for (int i = 0; i < 20; ++i) {
      ++append_count;
      const std::string id = "n-" + std::to_string(append_count % 500);
      leader.append(storage::MachineRegistered{id, "g", "a", false, append_count, wall_at(0)});
    }
  });
  const auto changes = static_cast<double>(service.changes() - before);
  EXPECT_GT(changes, 100);
  EXPECT_LE(changes, constants::journal_change_share * 28 * duration_s + 8);
}

TEST_F(JournalWriterTest, UnknownRecordFormatIsNotReadAsAnEmptyJournal) {
  service.handle(
      {"POST", "/multi", R"({"when":[],"apply":[{"write":"journal/log/1","data":{"v":9}}]})"},
      [](auto) {});
  LeaderProcess& leader = begin();
  ASSERT_TRUE(leader.loaded);
  EXPECT_FALSE(leader.readable);
  bool was_reset = false;
  leader.journal->reset([&] { was_reset = true; });
  queue.run_until(queue.now() + 5);
  EXPECT_TRUE(was_reset);
  EXPECT_FALSE(service.has("journal/log/1"));
}

TEST_F(JournalWriterTest, RecordsOfTheFirstStorageFormatMakeTheJournalUnreadable) {
  service.handle(
      {"POST", "/multi", R"({"when":[],"apply":[{"write":"machine/n-1","data":{"v":1}}]})"},
      [](auto) {});
  LeaderProcess& leader = begin();
  ASSERT_TRUE(leader.loaded);
  EXPECT_FALSE(leader.readable);
}

}  // namespace
}  // namespace poppystile::coordination
