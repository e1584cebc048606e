/// \file
/// The stored form of job records.
#include "storage/records.hpp"

#include <gtest/gtest.h>

#include <string>

#include "protocol/submission.hpp"
#include "simulation/test_clock.hpp"
#include "unit/message_samples.hpp"

namespace poppystile {
namespace {

using protocol::DecodeError;
using protocol::Json;
using samples::submission;

TEST(RecordsTest, DecodesAJobRecordAndRejectsAnUnknownVersion) {
  const storage::JobRecord record{protocol::parse_submission(protocol::parse_object(submission)),
                                  wall_at(1.7e9), true};
  Json value = storage::encode(record);
  EXPECT_TRUE(storage::decode_job(value).cancelled);
  value["v"] = 99;
  EXPECT_THROW(storage::decode_job(value), DecodeError);
}

// A job record stored under a high value limit must still be replaceable after the limit was
// lowered; otherwise its job could no longer be cancelled.
TEST(RecordsTest, ACancelledJobRecordIsShortenedToFitALowerLimit) {
  storage::JobRecord record{protocol::parse_submission(protocol::parse_object(submission)),
                            wall_at(1.7e9), false};
  record.spec.types.emplace(100, std::string(30, 't'));
  ASSERT_GT(storage::encode(record).dump().size(), 2048u);
  const Json shortened = storage::encode_cancelled(record, 1843);
  EXPECT_LE(shortened.dump().size(), 1843u);
  EXPECT_TRUE(storage::decode_job(shortened).cancelled);
  EXPECT_TRUE(storage::decode_job(storage::encode_cancelled(record, 7372)).spec.types);
}

}  // namespace
}  // namespace poppystile
