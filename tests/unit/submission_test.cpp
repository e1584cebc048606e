/// \file
/// Submissions: what is encoded decodes again, and what is missing or invalid is refused.
#include "protocol/submission.hpp"

#include <gtest/gtest.h>

#include <string>
#include <utility>

#include "unit/message_samples.hpp"

namespace poppystile {
namespace {

using protocol::DecodeError;
using protocol::Json;
using samples::submission;

TEST(SubmissionTest, DecodesWhatItEncodes) {
  const auto job = protocol::parse_submission(protocol::parse_object(submission));
  EXPECT_EQ(job.id, "req-000412");
  EXPECT_EQ(job.task_resources.memory, 64000);
  EXPECT_FALSE(job.zone.has_value());
  const auto again = protocol::parse_submission(protocol::encode_submission(job));
  EXPECT_EQ(protocol::encode_submission(again), protocol::encode_submission(job));
}

TEST(SubmissionTest, RefusesMissingAndInvalidFields) {
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

TEST(SubmissionTest, TreatsNullAsAbsent) {
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

TEST(SubmissionTest, DecodesAndEncodesGangs) {
  Json body = Json::parse(submission);
  body["shape"] = "gang";
  const auto job = protocol::parse_submission(body);
  EXPECT_EQ(job.kind, protocol::JobKind::gang);
  EXPECT_EQ(protocol::encode_submission(job).at("shape"), "gang");
}

}  // namespace
}  // namespace poppystile
