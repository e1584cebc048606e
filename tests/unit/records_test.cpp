/// \file
/// Stored records of jobs.
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

TEST(RecordsTest, DecodesAJobAndRefusesAnUnknownVersion) {
  const storage::JobRecord record{protocol::parse_submission(protocol::parse_object(submission)),
                                  wall_at(1.7e9), true};
  Json value = storage::encode(record);
  EXPECT_TRUE(storage::decode_job(value).cancelled);
  value["v"] = 99;
  EXPECT_THROW(storage::decode_job(value), DecodeError);
}

// A record stored under a higher limit must be replaceable under a lower one, or its job could not
// be cancelled any more.
TEST(RecordsTest, ShortensACancelledJobToFitALowerLimit) {
  storage::JobRecord record{protocol::parse_submission(protocol::parse_object(submission)),
                            wall_at(1.7e9), false};
  record.spec.types.emplace(100, std::string(30, 't'));
  ASSERT_GT(storage::encode(record).dump().size(), 2048u);
  const Json small = storage::encode_cancelled(record, 1843);
  EXPECT_LE(small.dump().size(), 1843u);
  EXPECT_TRUE(storage::decode_job(small).cancelled);
  EXPECT_TRUE(storage::decode_job(storage::encode_cancelled(record, 7372)).spec.types);
}

}  // namespace
}  // namespace poppystile
