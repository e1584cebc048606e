// Codecs: what goes out comes back, and what is broken is refused without harm.
#include <gtest/gtest.h>

#include <functional>
#include <random>

#include "protocol/cloud_messages.hpp"
#include "protocol/peer_messages.hpp"
#include "protocol/settings.hpp"
#include "protocol/state_messages.hpp"
#include "protocol/submission.hpp"
#include "protocol/worker_messages.hpp"
#include "simulation/test_clock.hpp"
#include "storage/journal_codec.hpp"
#include "storage/journal_replay.hpp"
#include "storage/records.hpp"

namespace poppystile {
namespace {

using protocol::DecodeError;
using protocol::Json;

const char* const submission =
    R"({"id":"req-000412","lane":"train","crew":"vision","shape":"sweep","rank":"high","pieces":16,
"cores":8.0,"gpus":1.0,"ram_gb":64.0,"bundle":"img-07","pull_gb":6.2,"builds":["g8"],"yard":null,
"one_zone":true,"scatter":false,"loaners":true,"guess_s":240.0,"mark_every_s":30.0,
"mark_cost_s":4.0,"due_s":900.0,"unheard_of":[1]})";

const char* const report =
    R"({"stile":"n-000231","addr":"10.1.0.232:9000","build":"g8","yard":"a","loaners":true,"shift":1,
"tick":88,"baton":41,"recall_s":null,"pieces":[{"piece":"req-000412/3","try":2,"stage":"running"},
{"piece":"req-000398/0","try":1,"stage":"exited","cause":"done"}]})";

TEST(Submission, RoundTrip) {
  const auto job = protocol::parse_submission(protocol::parse_object(submission));
  EXPECT_EQ(job.id, "req-000412");
  EXPECT_EQ(job.each.memory, 64000);
  EXPECT_FALSE(job.zone.has_value());
  const auto again = protocol::parse_submission(protocol::encode_submission(job));
  EXPECT_EQ(protocol::encode_submission(again), protocol::encode_submission(job));
}

TEST(Submission, RefusesWhatIsMissingOrInvalid) {
  const std::pair<const char*, Json> bad[] = {{"id", "job-1"},      {"id", "req-"},
                                              {"id", "req-1 2"},    {"id", 7},
                                              {"shape", "cloud"},   {"rank", "top"},
                                              {"pieces", 0},        {"pieces", 100001},
                                              {"pieces", -1},       {"pieces", 1.5},
                                              {"cores", -1},        {"cores", 0},
                                              {"cores", "8"},       {"cores", 1e300},
                                              {"ram_gb", true},     {"one_zone", 1},
                                              {"bundle", ""},       {"due_s", -5},
                                              {"builds", "g8"},     {"builds", Json{1}},
                                              {"lane", nullptr},    {"guess_s", nullptr},
                                              {"scatter", "no"},    {"crew", std::string(300, 'x')},
                                              {"mark_every_s", -1}, {"mark_cost_s", "4"},
                                              {"pull_gb", -1},      {"guess_s", -1},
                                              {"yard", 3}};
  for (const auto& [field, value] : bad) {
    Json body = Json::parse(submission);
    body[field] = value;
    EXPECT_THROW(protocol::parse_submission(body), DecodeError) << field << " " << value;
  }
  for (const char* field :
       {"id", "lane", "crew", "shape", "rank", "pieces", "cores", "gpus", "ram_gb", "bundle",
        "pull_gb", "one_zone", "scatter", "loaners", "guess_s", "mark_every_s", "mark_cost_s"}) {
    Json body = Json::parse(submission);
    body.erase(field);
    EXPECT_THROW(protocol::parse_submission(body), DecodeError) << field << " missing";
    body[field] = nullptr;
    EXPECT_THROW(protocol::parse_submission(body), DecodeError) << field << " null";
    body[field] = Json::object();
    EXPECT_THROW(protocol::parse_submission(body), DecodeError) << field << " of a wrong type";
  }
  EXPECT_THROW(protocol::parse_object("[1]"), DecodeError);
  EXPECT_THROW(protocol::parse_object("{"), DecodeError);
}

TEST(Submission, NullAndAbsentAreEqual) {
  Json with = Json::parse(submission);
  with["builds"] = nullptr;
  with["due_s"] = nullptr;
  Json without = with;
  without.erase("builds");
  without.erase("due_s");
  without.erase("yard");
  EXPECT_EQ(protocol::encode_submission(protocol::parse_submission(with)),
            protocol::encode_submission(protocol::parse_submission(without)));
}

TEST(Heartbeat, ReadsTheProtocolsExample) {
  const auto parsed = protocol::parse_heartbeat(report);
  EXPECT_EQ(parsed.token, 41u);
  ASSERT_EQ(parsed.tasks.size(), 2u);
  EXPECT_EQ(parsed.tasks[0].job, "req-000412");
  EXPECT_EQ(parsed.tasks[0].index, 3u);
  EXPECT_EQ(parsed.tasks[1].cause, protocol::ExitCause::done);
}

TEST(Heartbeat, TellsTheStatesOfAGangsTasks) {
  Json body = Json::parse(report);
  const Json exited = {{"piece", "req-1/0"}, {"try", 1}, {"stage", "exited"}};
  body["pieces"] = Json::array({{{"piece", "req-1/3"}, {"try", 2}, {"stage", "waiting"}},
                                {{"piece", "req-1/4"}, {"try", 2}, {"stage", "pondering"}},
                                exited,
                                exited});
  body["pieces"][2]["cause"] = "peers";
  body["pieces"][3]["cause"] = "alone";
  const auto tasks = protocol::parse_heartbeat(body.dump()).tasks;
  EXPECT_EQ(tasks[0].state, protocol::TaskState::waiting);
  EXPECT_EQ(tasks[1].state, protocol::TaskState::running);  // unknown: it occupies its machine
  EXPECT_EQ(tasks[2].cause, protocol::ExitCause::peer_lost);
  EXPECT_EQ(tasks[3].cause, protocol::ExitCause::gang_incomplete);
}

TEST(Submission, AGangRoundTrips) {
  Json body = Json::parse(submission);
  body["shape"] = "gang";
  const auto job = protocol::parse_submission(body);
  EXPECT_EQ(job.kind, protocol::JobKind::gang);
  EXPECT_EQ(protocol::encode_submission(job).at("shape"), "gang");
}

TEST(Commands, FollowTheProtocolsForm) {
  const std::string body = protocol::encode_commands(
      41, {{protocol::Command::Op::start, "req-000412", 4, 2, Seconds{0}},
           {protocol::Command::Op::stop, "req-000377", 1, 1, Seconds{10}},
           {protocol::Command::Op::forget, "req-000398", 0, 1, Seconds{0}}});
  EXPECT_EQ(Json::parse(body), Json::parse(R"({"baton":41,"orders":[
    {"verb":"start","piece":"req-000412/4","try":2},
    {"verb":"stop","piece":"req-000377/1","try":1,"wind_down_s":10},
    {"verb":"reap","piece":"req-000398/0","try":1}]})"));
}

TEST(Paths, AreTakenApart) {
  using Kind = protocol::Route::Kind;
  EXPECT_EQ(protocol::parse_route("/submissions").kind, Kind::submit);
  EXPECT_EQ(protocol::parse_route("/submissions/req-1").id, "req-1");
  EXPECT_EQ(protocol::parse_route("/submissions/req-1/cancel").kind, Kind::cancel);
  EXPECT_EQ(protocol::parse_route("/submissions/a/b/c").kind, Kind::none);
  EXPECT_EQ(protocol::parse_route("/submissions/").kind, Kind::none);
  EXPECT_EQ(protocol::parse_route("/elsewhere").kind, Kind::none);
}

TEST(Catalog, ReadsTheProtocolsExampleAndWritesItAgain) {
  const Json example = Json::parse(
      R"({"builds":[{"sku":"g8","cores":96.0,"gpus":8.0,"ram_gb":768.0,"local_gb":200.0,
      "fetch_gb_per_s":1.0,"rate":12.0,"low_price":4.5,"boot_s":45.0,"yards":["a","b"]}]})");
  const auto types = protocol::parse_catalog(example);
  ASSERT_EQ(types.size(), 1u);
  EXPECT_EQ(types[0].size.cpus, 96000);
  EXPECT_EQ(types[0].spot_price, 4.5);
  EXPECT_EQ(protocol::encode_catalog(types), example);
}

TEST(State, TransactionCarriesConditionsAndChanges) {
  const Json body = Json::parse(protocol::encode_transaction(
      {{{"a/b", 0}}, {{"a/b", R"({"x":1})", 7}, {"c/d", std::nullopt, 0}}}));
  EXPECT_EQ(body, Json::parse(R"({"when":[{"key":"a/b","stamp":0}],
    "apply":[{"write":"a/b","data":{"x":1},"pass":7},{"remove":"c/d"}]})"));
}

TEST(State, WatchTellsWritesFromRemovals) {
  const auto page = protocol::parse_watch(
      R"({"epoch":433,"log":[{"write":"c/9","data":{"v":1},"stamp":433},{"remove":"c/d","stamp":432}]})");
  EXPECT_EQ(page.revision, 433u);
  ASSERT_EQ(page.events.size(), 2u);
  EXPECT_TRUE(page.events[0].value.has_value());
  EXPECT_FALSE(page.events[1].value.has_value());
}

TEST(Records, JobRoundTripAndUnknownVersion) {
  const storage::JobRecord record{protocol::parse_submission(protocol::parse_object(submission)),
                                  wall_at(1.7e9), true};
  Json value = storage::encode(record);
  EXPECT_TRUE(storage::decode_job(value).cancelled);
  value["v"] = 99;
  EXPECT_THROW(storage::decode_job(value), DecodeError);
}

// A record stored under a higher limit must be replaceable under a lower one, or its job could not
// be cancelled any more.
TEST(Records, ACancelledJobsRecordFitsALowerLimit) {
  storage::JobRecord record{protocol::parse_submission(protocol::parse_object(submission)),
                            wall_at(1.7e9), false};
  record.spec.types.emplace(100, std::string(30, 't'));
  ASSERT_GT(storage::encode(record).dump().size(), 2048u);
  const Json small = storage::encode_cancelled(record, 1843);
  EXPECT_LE(small.dump().size(), 1843u);
  EXPECT_TRUE(storage::decode_job(small).cancelled);
  EXPECT_TRUE(storage::decode_job(storage::encode_cancelled(record, 7372)).spec.types);
}

protocol::PeerStatus peer_status() {
  protocol::PeerStatus status;
  status.name = "stile-1";
  status.incarnation = 77;
  status.started_at = wall_at(1.4e9);
  status.token = 9;
  status.is_leader = true;
  status.sent_at = wall_at(1.7e9);
  status.state_contact_at = wall_at(1.6e9);
  status.redirected_heartbeats = 12;
  status.counts = {{"req-1", 5, 6}};
  status.cancelled = {"req-7"};
  return status;
}

TEST(Peers, RoundTripAndGarbage) {
  protocol::PeerStatus status = peer_status();
  status.fresh_as_of_wall = wall_at(1.5e9);
  status.all_cancelled = false;
  const std::string frame = protocol::encode_peer_status(status);
  const auto again = protocol::decode_peer_status(frame);
  ASSERT_TRUE(again.has_value());
  EXPECT_EQ(again->counts.at(0).running, 6u);
  EXPECT_EQ(again->sent_at, wall_at(1.7e9));
  EXPECT_EQ(again->redirected_heartbeats, 12u);
  EXPECT_EQ(again->incarnation, 77u);
  EXPECT_EQ(again->started_at, wall_at(1.4e9));
  EXPECT_EQ(again->state_contact_at, wall_at(1.6e9));
  EXPECT_EQ(again->fresh_as_of_wall, wall_at(1.5e9));
  EXPECT_FALSE(again->all_cancelled);
  EXPECT_EQ(again->cancelled.at(0), "req-7");
  EXPECT_FALSE(protocol::decode_peer_status("").has_value());
  EXPECT_FALSE(protocol::decode_peer_status("\x81\x01").has_value());
}

// A head that claims billions of items once blocked the process for seconds while room for them
// was set aside.
TEST(Peers, HugeClaimIsRefusedAtOnce) {
  EXPECT_FALSE(
      protocol::decode_peer_status(std::string("\x9b\x00\x00\x00\x7f\xff\xff\xff\xff\x01", 10))
          .has_value());
  EXPECT_FALSE(
      protocol::decode_peer_status(std::string("\xba\xff\xff\xff\xff\x01", 6)).has_value());
}

// Fuzz-like, with a fixed seed: broken input raises DecodeError or gives a value, nothing else.
TEST(Decoders, SurviveBrokenInput) {
  const std::string frame = protocol::encode_peer_status(peer_status());
  const std::string machine_list =
      R"({"stiles":[{"id":"n-1","build":"g8","yard":"a","loaners":true,"stage":"running","held_s":6}],"more":false})";
  const std::string segment = storage::encode_chunk(
      1, 1,
      {storage::encode(storage::MachineRegistered{"n-1", "g", "a", false, 1, wall_at(2)}).dump(),
       storage::encode(storage::TaskPlaced{"req-1", 3, {{"n-1", {4, 4}}}}).dump()});
  const std::pair<std::string, std::function<void(const std::string&)>> targets[] = {
      {submission, [](auto& s) { protocol::parse_submission(protocol::parse_object(s)); }},
      {report, [](auto& s) { protocol::parse_heartbeat(s); }},
      {machine_list, [](auto& s) { protocol::parse_machine_list(s); }},
      {R"({"stiles":["n-1"]})", [](auto& s) { protocol::parse_rented(s); }},
      {R"({"entries":[{"key":"a","data":{},"stamp":4}],"more":true,"epoch":4})",
       [](auto& s) { protocol::parse_entries(s); }},
      {R"({"epoch":4,"log":[{"remove":"c","stamp":4}]})",
       [](auto& s) { protocol::parse_watch(s); }},
      {segment,
       [](auto& s) {
         storage::JournalReplay reader;
         reader.add(storage::segment_key(1), protocol::parse_object(s));
         reader.replay();
       }},
      {frame, [](auto& s) { protocol::decode_peer_status(s); }}};
  std::mt19937_64 random(5);
  for (const auto& [good, decode] : targets) {
    EXPECT_NO_THROW(decode(good));
    for (int round = 0; round < 3000; ++round) {
      std::string broken = good;
      for (int edits = 1 + static_cast<int>(random() % 4); edits > 0; --edits) {
        const std::size_t at = random() % broken.size();
        if (random() % 3 == 0) {
          broken.erase(at, 1 + random() % 5);
        } else {
          broken[at] = static_cast<char>(random());
        }
        if (broken.empty()) broken = "x";
      }
      try {
        decode(broken);
      } catch (const DecodeError&) {
      }
    }
  }
}

}  // namespace
}  // namespace poppystile
