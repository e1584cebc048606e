/// \file
/// Decides whether a submitted job can ever run under the settings and the cloud's catalog.
#pragma once

#include <cstdint>
#include <tl/expected.hpp>
#include <vector>

#include "protocol/cloud_messages.hpp"
#include "protocol/settings.hpp"
#include "protocol/submission.hpp"

namespace poppystile::coordination {

/// Why a well-formed job is rejected.
enum class RejectionReason : std::uint8_t {
  unknown_team,
  no_fitting_machine_type,
  gangs_not_supported,
  team_limit_exceeded,
  record_too_large
};

/// The error text of the response to the user.
const char* to_string(RejectionReason reason);

/// A job that has passed the check. Its list of machine types contains only types of the catalog,
/// which also bounds the size of its record.
struct AdmittedJob {
  protocol::JobSpec spec;
};

/// Checks jobs against the teams' limits and the machine types. Stateless.
class AdmissionCheck {
 public:
  /// `settings` must outlive the check.
  explicit AdmissionCheck(const protocol::Settings& settings) : settings_(settings) {}

  /// Returns the job in the form in which it is stored, or the first reason found to reject it.
  /// Does not check the size of the job's record, so it never returns `record_too_large`.
  tl::expected<AdmittedJob, RejectionReason> check(
      protocol::JobSpec job, const std::vector<protocol::MachineType>& machine_types) const;

 private:
  const protocol::Settings& settings_;
};

}  // namespace poppystile::coordination
