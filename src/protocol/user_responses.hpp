/// \file
/// Bodies of the responses to users: job states and errors.
#pragma once

#include <cstdint>
#include <string>

namespace poppystile::protocol {

enum class JobState : std::uint8_t { queued, running, done, cancelled };

/// The wire value of the state.
const char* to_string(JobState state);

/// The body of the response to a submission or a cancellation.
std::string encode_submitted(const std::string& id, JobState state);
/// The body of the response to a status request; `done` and `running` are numbers of tasks.
std::string encode_job_status(const std::string& id, JobState state, std::uint64_t done,
                              std::uint64_t running);
/// The body of an error response.
std::string encode_error(const std::string& reason);

}  // namespace poppystile::protocol
