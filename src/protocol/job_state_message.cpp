#include "protocol/job_state_message.hpp"

#include "protocol/cbor_array.hpp"

namespace poppystile::protocol {

namespace {

// Version of the message format; other versions are rejected. No version of the peer status.
constexpr std::uint64_t version = 101;
constexpr std::size_t message_fields = 7;
// The first byte of an array with `message_fields` items. It distinguishes the message from a peer
// status, which may be large, without decoding it.
constexpr char array_head = '\x87';

std::optional<JobStateMessage::Kind> to_kind(std::uint64_t number) {
  if (number > static_cast<std::uint64_t>(JobStateMessage::Kind::acknowledgement))
    return std::nullopt;
  return static_cast<JobStateMessage::Kind>(number);
}

std::optional<AnnouncedState> to_state(std::uint64_t number) {
  if (number > static_cast<std::uint64_t>(AnnouncedState::done)) return std::nullopt;
  return static_cast<AnnouncedState>(number);
}

}  // namespace

std::string encode_job_state_message(const JobStateMessage& message) {
  CborArrayWriter out(message_fields);
  out.add(version);
  out.add(static_cast<std::uint64_t>(message.kind));
  out.add(message.sender);
  out.add(message.announcer);
  out.add(message.announcer_incarnation);
  out.add(message.job);
  out.add(static_cast<std::uint64_t>(message.state));
  return out.serialize();
}

std::optional<JobStateMessage> decode_job_state_message(const std::string& frame) {
  if (frame.empty() || frame.front() != array_head) return std::nullopt;
  CborArrayReader reader(decode_cbor(frame));
  if (reader.size() != message_fields || reader.read_number() != version) return std::nullopt;
  JobStateMessage out;
  const auto kind = to_kind(reader.read_number());
  out.sender = reader.read_text();
  out.announcer = reader.read_text();
  out.announcer_incarnation = reader.read_number();
  out.job = reader.read_text();
  const auto state = to_state(reader.read_number());
  if (!reader.ok() || !kind || !state) return std::nullopt;
  out.kind = *kind;
  out.state = *state;
  return out;
}

}  // namespace poppystile::protocol
