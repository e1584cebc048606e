/// \file
/// What users are told about their jobs, and the body of every error response.
#pragma once

#include <cstdint>
#include <string>

namespace poppystile::protocol {

enum class JobState : std::uint8_t { queued, running, done, cancelled };

/// The word that users are given for the state.
const char* to_string(JobState state);

/// The response to a submission or a cancellation.
std::string encode_submitted(const std::string& id, JobState state);
/// The response to a poll; `done` and `running` count tasks.
std::string encode_job_status(const std::string& id, JobState state, std::uint64_t done,
                              std::uint64_t running);
/// The body of a response that is an error.
std::string encode_error(const std::string& reason);

}  // namespace poppystile::protocol
