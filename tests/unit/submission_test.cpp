/// \file
/// Encoding and decoding of submissions, and the rejection of missing and invalid fields.
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

TEST(SubmissionTest, DecodesItsEncoding) {
  const auto job = protocol::parse_submission(protocol::parse_object(submission));
  EXPECT_EQ(job.id, "req-000412");
  EXPECT_EQ(job.task_resources.memory, 64000);
  EXPECT_FALSE(job.zone.has_value());
  const auto again = protocol::parse_submission(protocol::encode_submission(job));
  EXPECT_EQ(protocol::encode_submission(again), protocol::encode_submission(job));
}

TEST(SubmissionTest, RejectsMissingAndInvalidFields) {
  const std::pair<const char*, Json> invalid[] = {
      {"id", "job-1"},      {"id", "req-"},
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
  for (const auto& [field, value] : invalid) {
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
  Json null_fields = Json::parse(submission);
  null_fields["builds"] = nullptr;
  null_fields["due_s"] = nullptr;
  Json absent_fields = null_fields;
  absent_fields.erase("builds");
  absent_fields.erase("due_s");
  absent_fields.erase("yard");
  EXPECT_EQ(protocol::encode_submission(protocol::parse_submission(null_fields)),
            protocol::encode_submission(protocol::parse_submission(absent_fields)));
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
