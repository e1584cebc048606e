/// \file
/// Responses to users: rejections, which are immediate and store nothing, repeated submissions, and
/// outdated reads.
#include "coordination/api/job_api.hpp"

#include <gtest/gtest.h>

#include "simulation/test_clock.hpp"
#include "unit/fake_peer_transport.hpp"
#include "unit/shared_state_fixture.hpp"

namespace poppystile::coordination {
namespace {

using protocol::Json;
using transport::HttpResponse;

class JobApiTest : public SharedStateFixture {
 protected:
  void SetUp() override {
    settings.state_limits.rps = 250;
    settings.state_limits.write_rps = 40;
    settings.state_limits.txn_ops = 32;
    settings.gang_times = protocol::GangTimes{Seconds{40}, Seconds{6}};
    settings.teams = {{"vision", 8, 40, 0, 2}, {"free", 0, 0, 0, 0}};
    const std::vector<protocol::MachineType> types = {
        {"g8", {32000, 8000, 64000}, 50, 1, 1.0, 0.3, Seconds{20}, {"a", "b"}},
        {"c4", {16000, 0, 32000}, 50, 1, 1.0, 0.3, Seconds{20}, {"a"}}};
    simulation::write_record(service, storage::keys::catalog, storage::encode_catalog(types));
    load_shared_state();
  }

  static Json submission() {
    return {{"id", "req-000412"}, {"lane", "train"},    {"crew", "vision"},   {"shape", "sweep"},
            {"rank", "high"},     {"pieces", 16},       {"cores", 8.0},       {"gpus", 1.0},
            {"ram_gb", 32.0},     {"bundle", "img-07"}, {"pull_gb", 6.2},     {"builds", nullptr},
            {"yard", nullptr},    {"one_zone", false},  {"scatter", false},   {"loaners", true},
            {"guess_s", 240.0},   {"mark_every_s", 30}, {"mark_cost_s", 4.0}, {"due_s", nullptr}};
  }

  /// Returns the response, and sets `response_time` to the seconds that it took.
  HttpResponse submit(const Json& body) {
    HttpResponse received;
    const double sent_at = queue.now();
    job_api.submit(body.dump(), [&](HttpResponse response) {
      received = std::move(response);
      response_time = queue.now() - sent_at;
    });
    queue.run_until(sent_at + 2);
    return received;
  }

  FakePeerTransport peers;
  JobStateAnnouncer announcer{caller, peers, settings, shared_state, 1};
  JobApi job_api{caller,    key_value_client, shared_state,
                 announcer, settings,         [](const auto&) { return TaskCounts{}; }};
  double response_time = -1;
};

TEST_F(JobApiTest, RejectsInadmissibleJobsAtOnceAndStoresNothing) {
  struct Case {
    const char* description;
    std::vector<std::pair<const char*, Json>> fields;
    int status;
  };
  const Case cases[] = {
      {"unknown team", {{"crew", "nobody"}}, 422},
      {"a gang over the team's CPUs",
       {{"shape", "gang"}, {"pieces", 6}, {"cores", 8}, {"gpus", 0}},
       422},
      {"a gang over the team's GPUs",
       {{"shape", "gang"}, {"pieces", 3}, {"cores", 1}, {"gpus", 1}},
       422},
      {"too many CPUs for any type", {{"cores", 33}}, 422},
      {"too much memory for any type", {{"ram_gb", 65}}, 422},
      {"too many GPUs for any type", {{"gpus", 9}}, 422},
      {"no such type", {{"builds", {"x9"}}}, 422},
      {"no type allowed", {{"builds", Json::array()}}, 422},
      {"does not fit the allowed type", {{"builds", {"c4"}}}, 422},
      {"the allowed type is not in the zone",
       {{"builds", {"c4"}}, {"gpus", 0}, {"yard", "b"}},
       422},
      {"no such zone", {{"yard", "z"}}, 422},
      {"a task above the team's GPUs", {{"gpus", 3}}, 422},
      {"a service's tasks above the team's CPUs", {{"shape", "standing"}, {"pieces", 6}}, 422},
      {"a service's tasks above the team's GPUs", {{"shape", "standing"}, {"pieces", 3}}, 422},
      {"no tasks", {{"pieces", 0}}, 400},
      {"malformed id", {{"id", "412"}}, 400},
  };
  for (const Case& test_case : cases) {
    Json body = submission();
    for (const auto& [field, value] : test_case.fields) body[field] = value;
    for (int repeat = 0; repeat < 2; ++repeat) {
      const HttpResponse received = submit(body);
      EXPECT_EQ(received.status, test_case.status) << test_case.description << " " << received.body;
      EXPECT_EQ(response_time, 0) << test_case.description;
      EXPECT_TRUE(Json::parse(received.body).at("error").is_string()) << test_case.description;
    }
    EXPECT_FALSE(service.has(storage::job_key("req-000412"))) << test_case.description;
  }
}

TEST_F(JobApiTest, AcceptsAnAdmissibleJobOnceAndRespondsWithItsStateWhenRepeated) {
  const std::vector<std::vector<std::pair<const char*, Json>>> admissible = {
      {},
      {{"id", "req-000002"}, {"cores", 32}, {"ram_gb", 64}, {"gpus", 2}},
      {{"id", "req-000003"}, {"crew", "free"}, {"gpus", 8}},
      {{"id", "req-000004"}, {"builds", {"c4", "g8", "x9"}}, {"yard", "a"}, {"pieces", 100000}},
      {{"id", "req-000006"}, {"shape", "gang"}, {"pieces", 5}, {"cores", 8}, {"gpus", 0}},
      {{"id", "req-000007"}, {"shape", "gang"}, {"crew", "free"}, {"pieces", 100}},
      {{"id", "req-000005"}, {"shape", "standing"}, {"pieces", 2}, {"guess_s", 0}}};
  for (const auto& fields : admissible) {
    Json body = submission();
    for (const auto& [field, value] : fields) body[field] = value;
    EXPECT_EQ(submit(body).status, 201);
    const HttpResponse repeated = submit(body);
    EXPECT_EQ(repeated.status, 200);
    EXPECT_EQ(Json::parse(repeated.body).at("stage"), "pending");
  }
}

TEST_F(JobApiTest, RejectsGangsWhereWorkersDoNotSupportThem) {
  settings.gang_times.reset();
  Json body = submission();
  body["shape"] = "gang";
  body["crew"] = "free";
  EXPECT_EQ(submit(body).status, 422);
}

TEST_F(JobApiTest, RejectsAJobWhoseRecordExceedsTheValueLimit) {
  settings.state_limits.value_kb = 0.25;
  EXPECT_EQ(submit(submission()).status, 422);
  EXPECT_FALSE(service.has(storage::job_key("req-000412")));
}

// A late response to a compare does not prove the current state: another controller may have
// reported a later one.
TEST_F(JobApiTest, DoesNotReportAStateFromAnOutdatedRead) {
  ASSERT_EQ(submit(submission()).status, 201);
  const auto show_after = [&](double response_delay) {
    HttpResponse received;
    caller.response_delay = Seconds{response_delay};
    job_api.show("req-000412", [&](HttpResponse response) { received = std::move(response); });
    queue.run_until(queue.now() + 3);
    return received;
  };
  EXPECT_EQ(show_after(0.5).status, 200);
  const HttpResponse outdated = show_after(1.5);
  EXPECT_EQ(outdated.status, 503);
  EXPECT_TRUE(outdated.retry_after.count() > 0);
}

}  // namespace
}  // namespace poppystile::coordination
