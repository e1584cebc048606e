/// \file
/// Decides whether a submitted job could ever run under the settings and the cloud's catalog.
#pragma once

#include <cstdint>
#include <tl/expected.hpp>
#include <vector>

#include "protocol/cloud_messages.hpp"
#include "protocol/settings.hpp"
#include "protocol/submission.hpp"

namespace poppystile::coordination {

/// Why a well-formed job is not accepted.
enum class RejectionReason : std::uint8_t {
  unknown_team,
  no_fitting_machine_type,
  gangs_not_supported,
  team_limit_exceeded,
  record_too_large
};

/// The text that the user is given for a rejection.
const char* to_string(RejectionReason reason);

/// A job that has passed the check. Its list of machine types names known types only, which also
/// bounds the size of its record.
struct AdmittedJob {
  protocol::JobSpec spec;
};

/// Checks jobs against the teams' limits and the machine types. Holds no state of its own.
class AdmissionCheck {
 public:
  /// `settings` must outlive the check.
  explicit AdmissionCheck(const protocol::Settings& settings) : settings_(settings) {}

  /// Returns the job as it may be stored, or the first reason found why it can never run.
  tl::expected<AdmittedJob, RejectionReason> check(
      protocol::JobSpec job, const std::vector<protocol::MachineType>& machine_types) const;

 private:
  const protocol::Settings& settings_;
};

}  // namespace poppystile::coordination
