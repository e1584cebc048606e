/// \file
/// Messages by which a controller informs its peers of a job's state before it reports the state to
/// a user, and by which they confirm that. Encoded as CBOR.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace poppystile::protocol {

/// A state that no older one may follow in responses to users.
enum class AnnouncedState : std::uint8_t { accepted, cancelled, done };

/// Announces a job's state to all peers, or acknowledges that the sender has applied an
/// announcement.
struct JobStateMessage {
  enum class Kind : std::uint8_t { announcement, acknowledgement };

  Kind kind = Kind::announcement;
  std::string sender;
  std::string announcer;                    ///< The controller that announced the state.
  std::uint64_t announcer_incarnation = 0;  ///< Incarnation of the announcer's process.
  std::string job;
  AnnouncedState state = AnnouncedState::accepted;
};

std::string encode_job_state_message(const JobStateMessage& message);

/// Returns nullopt if the frame is malformed or is another message.
std::optional<JobStateMessage> decode_job_state_message(const std::string& frame);

}  // namespace poppystile::protocol
