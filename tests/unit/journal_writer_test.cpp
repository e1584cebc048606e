// The journal in the stand-in state service: leaders come and go at any moment, and every one of
// them finds exactly what was durable, and can go on writing.
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

// One controller, as long as it lives.
class Life : public simulation::FakeHttpCaller {
 public:
  Life(simulation::EventQueue& queue, simulation::StateService& service, const std::string& name,
       double lose_answers)
      : FakeHttpCaller(queue, service, lose_answers) {
    settings.name = name;
    settings.state_limits.rps = 250;
    settings.state_limits.write_rps = 40;
    settings.state_limits.txn_ops = 32;
    store.emplace(*this, *this, settings);
    shared_state.emplace(*this, *store);
    election.emplace(*this, *store, *shared_state, name, queue.random());
    journal.emplace(*this, *store, *election, settings);
    election->on_elected([this] {
      journal->load([this](std::optional<ReplayedState> found) {
        understood = found.has_value();
        if (found) replayed = *found;
        loaded = true;
      });
    });
    election->on_deposed([this] { lost = true; });
    journal->on_snapshot([this] {
      std::vector<storage::JournalEntry> out;
      for (const auto& [id, machine] : replayed.machines)
        out.push_back(
            storage::MachineRegistered{id, "g", "a", false, machine.incarnation, wall_at(0)});
      return out;
    });
    shared_state->start();
    election->start();
  }
  // Appends as a leader does, and keeps the ledger that its successor should find.
  std::uint64_t append(const storage::JournalEntry& entry) {
    replayed.apply(storage::decode_entry(storage::Json::parse(storage::encode(entry).dump())));
    return journal->append(entry);
  }

  protocol::Settings settings;
  std::optional<KeyValueClient> store;
  std::optional<SharedStateCache> shared_state;
  std::optional<LeaderElection> election;
  std::optional<JournalWriter> journal;
  ReplayedState replayed;
  bool loaded = false, understood = false, lost = false;
};

class JournalDeskTest : public testing::Test {
 protected:
  // The former life ends in whatever it is doing.
  Life& begin(double lose_answers = 0) {
    current.reset();
    current = std::make_unique<Life>(queue, service, "stile-0", lose_answers);
    Life& life = *current;
    for (int i = 0; i < 3000 && !life.loaded; ++i) queue.run_until(queue.now() + 0.01);
    return life;
  }
  // Runs for a while, or until the ring is full; `more` is called every 20 ms.
  void run(Life& life, double for_s, const std::function<void()>& more) {
    const double until = queue.now() + for_s;
    while (queue.now() < until &&
           life.journal->segments_since_snapshot() < life.journal->max_segments_since_snapshot()) {
      more();
      life.journal->pump();
      queue.run_until(queue.now() + 0.02);
    }
  }
  simulation::EventQueue queue{7};
  simulation::StateService service{queue, 250, 40, 32};
  std::unique_ptr<Life> current;
};

// A ring that was full at a takeover, with a segment cut before the snapshot, once blocked every
// later leader for good: nothing started any more.
TEST_F(JournalDeskTest, EverySuccessorReadsWhatWasDurableAndGoesOn) {
  std::mt19937_64 random(3);
  std::uint64_t made = 0;
  std::map<std::string, std::uint64_t> durable;  // machine and session
  for (int round = 0; round < 25; ++round) {
    Life& life = begin(round % 3 == 2 ? 0.05 : 0);
    ASSERT_TRUE(life.loaded && life.understood) << "round " << round;
    for (const auto& [id, incarnation] : durable) {
      ASSERT_TRUE(life.replayed.machines.contains(id)) << "round " << round;
      EXPECT_GE(life.replayed.machines.at(id).incarnation, incarnation);
    }
    std::vector<std::tuple<std::uint64_t, std::string, std::uint64_t>> marks;
    const double for_s = 1 + static_cast<double>(random() % 60);
    run(life, for_s, [&] {
      const std::string id = "n-" + std::to_string(random() % 40);
      const std::uint64_t incarnation = ++made;
      if (!life.replayed.machines.contains(id))
        life.append(storage::MachineRegistered{id, "g", "a", false, 0, wall_at(0)});
      marks.emplace_back(life.append(storage::IncarnationStarted{id, incarnation}), id,
                         incarnation);
    });
    EXPECT_FALSE(life.lost) << "round " << round;
    std::size_t landed = 0;
    for (const auto& [mark, id, incarnation] : marks) {
      if (!life.journal->is_durable(mark)) continue;
      ++landed;
      durable[id] = std::max(durable[id], incarnation);
    }
    EXPECT_GT(landed, 0u) << "round " << round;
  }
}

// A former leader's transaction that arrives after a takeover, on a key that its successor has not
// written yet. Without the condition on the leader's key it would be carried out, and its successor
// would have to give up.
TEST_F(JournalDeskTest, ALateTransactionOfAFormerLeaderChangesNothing) {
  Life& former = begin();
  former.journal_write_delay = Seconds{12};
  former.append(storage::MachineRegistered{"n-1", "g", "a", false, 0, wall_at(0)});
  former.journal->pump();
  Life& life = begin();
  ASSERT_TRUE(life.loaded);
  EXPECT_FALSE(life.replayed.machines.contains("n-1"));
  run(life, 15, [] {});
  const auto mark = life.append(storage::MachineRegistered{"n-2", "g", "a", false, 0, wall_at(0)});
  run(life, 3, [] {});
  EXPECT_FALSE(life.lost);
  EXPECT_TRUE(life.journal->is_durable(mark));
}

// Transactions that were carried out are carried out again much later. Without the versions of the
// keys in their conditions, an old head or segment would replace a newer one.
TEST_F(JournalDeskTest, RepeatedTransactionsChangeNothing) {
  Life& life = begin();
  life.journal_duplicate_delay = Seconds{55};
  std::uint64_t made = 0;
  std::map<std::string, std::uint64_t> durable;
  std::deque<std::tuple<std::uint64_t, std::string, std::uint64_t>> marks;
  run(life, 200, [&] {
    const std::string id = "n-" + std::to_string(made % 40);
    if (!life.replayed.machines.contains(id))
      life.append(storage::MachineRegistered{id, "g", "a", false, 0, wall_at(0)});
    const auto mark = life.append(storage::IncarnationStarted{id, ++made});
    marks.emplace_back(mark, id, made);
    for (; !marks.empty() && life.journal->is_durable(std::get<0>(marks.front()));
         marks.pop_front())
      durable[std::get<1>(marks.front())] = std::get<2>(marks.front());
  });
  EXPECT_FALSE(life.lost);
  Life& next = begin();
  ASSERT_TRUE(next.loaded && next.understood);
  for (const auto& [id, incarnation] : durable)
    EXPECT_GE(next.replayed.machines.at(id).incarnation, incarnation);
}

// What the service will not take once its limits have fallen must not be cut to the present ones.
TEST_F(JournalDeskTest, EntriesFollowTheLimitsOfTheSettings) {
  Life& life = begin();
  EXPECT_EQ(life.journal->entry_limits().max_elements, constants::max_journal_entry_runs);
  EXPECT_EQ(life.journal->entry_limits().max_bitmap_tasks, 14744u);
  life.settings.state_limits.value_kb = 2;
  EXPECT_EQ(life.journal->entry_limits().max_elements, 46u);
  EXPECT_EQ(life.journal->entry_limits().max_bitmap_tasks, 3684u);
}

// Where values are small every transaction has many changes. The journal once took all that the
// service allows, and final records came minutes late.
TEST_F(JournalDeskTest, KeepsToItsShareOfTheChanges) {
  Life& life = begin();
  life.settings.state_limits = {250, 28, 2, 8};
  life.store->set_share(1);
  const std::uint64_t before = service.changes();
  std::uint64_t made = 0;
  constexpr double for_s = 30;
  run(life, for_s, [&] {
    for (int i = 0; i < 20; ++i) {
      ++made;
      const std::string id = "n-" + std::to_string(made % 500);
      life.append(storage::MachineRegistered{id, "g", "a", false, made, wall_at(0)});
    }
  });
  const auto changes = static_cast<double>(service.changes() - before);
  EXPECT_GT(changes, 100);
  EXPECT_LE(changes, constants::journal_change_share * 28 * for_s + 8);
}

TEST_F(JournalDeskTest, AnUnknownFormIsNotReadAsEmpty) {
  service.handle(
      {"POST", "/multi", R"({"when":[],"apply":[{"write":"journal/log/1","data":{"v":9}}]})"},
      [](auto) {});
  Life& life = begin();
  ASSERT_TRUE(life.loaded);
  EXPECT_FALSE(life.understood);
  bool wiped = false;
  life.journal->reset([&] { wiped = true; });
  queue.run_until(queue.now() + 5);
  EXPECT_TRUE(wiped);
  EXPECT_FALSE(service.has("journal/log/1"));
}

TEST_F(JournalDeskTest, RecordsOfTheFirstVersionAreRefusedAloud) {
  service.handle(
      {"POST", "/multi", R"({"when":[],"apply":[{"write":"machine/n-1","data":{"v":1}}]})"},
      [](auto) {});
  Life& life = begin();
  ASSERT_TRUE(life.loaded);
  EXPECT_FALSE(life.understood);
}

}  // namespace
}  // namespace poppystile::coordination
