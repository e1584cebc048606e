/// \file
/// The reasons for rejecting a job, and the machine types of an admitted job.
#include "coordination/api/admission_check.hpp"

#include <gtest/gtest.h>

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace poppystile::coordination {
namespace {

using protocol::JobKind;
using protocol::JobSpec;

class AdmissionCheckTest : public testing::Test {
 protected:
  AdmissionCheckTest() {
    settings.gang_times = protocol::GangTimes{Seconds{40}, Seconds{6}};
    settings.teams = {{"vision", 8, 40, 0, 2}};
    job.team = "vision";
    job.tasks = 16;
    job.task_resources = {8000, 1000, 32000};
  }

  /// The reason for which `job` is rejected, or nothing if it is admitted.
  std::optional<RejectionReason> rejection() const {
    const auto result = check.check(job, machine_types);
    return result ? std::nullopt : std::optional(result.error());
  }

  protocol::Settings settings;
  std::vector<protocol::MachineType> machine_types = {
      {"g8", {32000, 8000, 64000}, 50, 1, 1.0, 0.3, Seconds{20}, {"a", "b"}},
      {"c4", {16000, 0, 32000}, 50, 1, 1.0, 0.3, Seconds{20}, {"a"}}};
  JobSpec job;
  AdmissionCheck check{settings};
};

TEST_F(AdmissionCheckTest, AdmitsAnArrayWhoseSingleTaskFitsTheTeamLimit) {
  EXPECT_EQ(rejection(), std::nullopt);
}

TEST_F(AdmissionCheckTest, RejectsAnUnknownTeam) {
  job.team = "nobody";
  EXPECT_EQ(rejection(), RejectionReason::unknown_team);
}

TEST_F(AdmissionCheckTest, RejectsATaskThatFitsNoAllowedMachineType) {
  job.types = std::vector<std::string>{"c4"};
  EXPECT_EQ(rejection(), RejectionReason::no_fitting_machine_type);
  job.types.reset();
  job.zone = "z";
  EXPECT_EQ(rejection(), RejectionReason::no_fitting_machine_type);
  job.zone.reset();
  job.task_resources.memory = 64001;
  EXPECT_EQ(rejection(), RejectionReason::no_fitting_machine_type);
}

TEST_F(AdmissionCheckTest, RejectsGangsWhereWorkersDoNotSupportThem) {
  job.kind = JobKind::gang;
  job.tasks = 2;
  EXPECT_EQ(rejection(), std::nullopt);
  settings.gang_times.reset();
  EXPECT_EQ(rejection(), RejectionReason::gangs_not_supported);
}

TEST_F(AdmissionCheckTest, CountsAllTasksOfAServiceAgainstTheTeamLimit) {
  job.kind = JobKind::service;
  job.tasks = 2;
  EXPECT_EQ(rejection(), std::nullopt);
  job.tasks = 3;
  EXPECT_EQ(rejection(), RejectionReason::team_limit_exceeded);
}

TEST_F(AdmissionCheckTest, KeepsOnlyKnownMachineTypesOfTheJobsList) {
  job.types = std::vector<std::string>{"x9", "g8"};
  const auto admitted = check.check(job, machine_types);
  ASSERT_TRUE(admitted.has_value());
  EXPECT_EQ(admitted->spec.types, std::vector<std::string>{"g8"});
}

TEST_F(AdmissionCheckTest, AddsNoListOfMachineTypesToAJobWithoutOne) {
  const auto admitted = check.check(job, machine_types);
  ASSERT_TRUE(admitted.has_value());
  EXPECT_FALSE(admitted->spec.types.has_value());
}

TEST(RejectionReasonTest, EachReasonHasADistinctText) {
  std::set<std::string> texts;
  for (const auto reason :
       {RejectionReason::unknown_team, RejectionReason::no_fitting_machine_type,
        RejectionReason::gangs_not_supported, RejectionReason::team_limit_exceeded,
        RejectionReason::record_too_large})
    texts.insert(to_string(reason));
  EXPECT_EQ(texts, (std::set<std::string>{"unknown team", "a task fits no allowed machine type",
                                          "gangs are not run here", "more than the team's limit",
                                          "the job's description is too large to be stored"}));
}

}  // namespace
}  // namespace poppystile::coordination
