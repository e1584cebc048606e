/// \file
/// All decoders with malformed input.
#include <gtest/gtest.h>

#include <functional>
#include <random>
#include <string>
#include <utility>

#include "protocol/cloud_messages.hpp"
#include "protocol/job_state_message.hpp"
#include "protocol/json.hpp"
#include "protocol/peer_messages.hpp"
#include "protocol/state_messages.hpp"
#include "protocol/submission.hpp"
#include "protocol/worker_messages.hpp"
#include "simulation/test_clock.hpp"
#include "storage/journal_codec.hpp"
#include "storage/journal_replay.hpp"
#include "unit/message_samples.hpp"

namespace poppystile {
namespace {

using protocol::DecodeError;
using samples::heartbeat;
using samples::peer_status;
using samples::submission;

// Decodes randomly modified messages, with a fixed seed. A decoder must return a value or throw
// DecodeError; it must throw nothing else.
TEST(DecodersTest, ThrowOnlyDecodeErrorForMalformedInput) {
  const std::string frame = protocol::encode_peer_status(peer_status());
  const std::string machine_list =
      R"({"stiles":[{"id":"n-1","build":"g8","yard":"a","loaners":true,"stage":"running","held_s":6}],"more":false})";
  const std::string segment = storage::encode_chunk(
      1, 1,
      {storage::encode(storage::MachineRegistered{"n-1", "g", "a", false, 1, wall_at(2)}).dump(),
       storage::encode(storage::TaskPlaced{"req-1", 3, {{"n-1", {4, 4}}}}).dump()});
  const std::pair<std::string, std::function<void(const std::string&)>> targets[] = {
      {submission, [](auto& s) { protocol::parse_submission(protocol::parse_object(s)); }},
      {heartbeat, [](auto& s) { protocol::parse_heartbeat(s); }},
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
      {frame, [](auto& s) { protocol::decode_peer_status(s); }},
      {protocol::encode_job_state_message({}),
       [](auto& s) { protocol::decode_job_state_message(s); }}};
  std::mt19937_64 random(5);
  for (const auto& [original, decode] : targets) {
    EXPECT_NO_THROW(decode(original));
    for (int round = 0; round < 3000; ++round) {
      std::string malformed = original;
      for (int edits = 1 + static_cast<int>(random() % 4); edits > 0; --edits) {
        const std::size_t position = random() % malformed.size();
        if (random() % 3 == 0) {
          malformed.erase(position, 1 + random() % 5);
        } else {
          malformed[position] = static_cast<char>(random());
        }
        if (malformed.empty()) malformed = "x";
      }
      try {
        decode(malformed);
      } catch (const DecodeError&) {
      }
    }
  }
}

}  // namespace
}  // namespace poppystile
