/// \file
/// Writing and reading of CBOR arrays, and the reader's failed state after an unexpected item.
#include "protocol/cbor_array.hpp"

#include <gtest/gtest.h>

#include <string>
#include <utility>

namespace poppystile::protocol {
namespace {

std::string sample() {
  CborArrayWriter inner(1);
  inner.add(std::string("req-1"));
  CborArrayWriter array(4);
  array.add(std::uint64_t{7});
  array.add(0.25);
  array.add_flag(true);
  array.add(std::move(inner));
  return array.serialize();
}

TEST(CborArrayTest, ReadsWrittenItems) {
  CborArrayReader reader(decode_cbor(sample()));
  EXPECT_EQ(reader.size(), 4u);
  EXPECT_EQ(reader.read_number(), 7u);
  EXPECT_EQ(reader.read_double(), 0.25);
  EXPECT_TRUE(reader.read_flag());
  CborArrayReader inner = reader.read_array();
  EXPECT_EQ(inner.read_text(), "req-1");
  EXPECT_TRUE(inner.ok());
  EXPECT_TRUE(reader.ok());
}

TEST(CborArrayTest, StaysFailedAfterAnItemOfAnotherType) {
  CborArrayReader reader(decode_cbor(sample()));
  EXPECT_EQ(reader.read_text(), "");
  EXPECT_FALSE(reader.ok());
  EXPECT_EQ(reader.read_double(), 0);
  EXPECT_FALSE(reader.ok());
  EXPECT_EQ(reader.size(), 0u);
}

TEST(CborArrayTest, FailsAfterTheLastItem) {
  CborArrayReader reader(decode_cbor("\x81\x07"));
  EXPECT_EQ(reader.read_number(), 7u);
  EXPECT_TRUE(reader.ok());
  EXPECT_EQ(reader.read_number(), 0u);
  EXPECT_FALSE(reader.ok());
}

TEST(CborArrayTest, RejectsFramesWithoutAnArray) {
  EXPECT_FALSE(CborArrayReader(decode_cbor("\x07")).ok());
  EXPECT_FALSE(CborArrayReader(decode_cbor("")).ok());
  EXPECT_EQ(decode_cbor("\xa1\x01\x02"), nullptr);
}

}  // namespace
}  // namespace poppystile::protocol
