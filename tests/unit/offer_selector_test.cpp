// Selection of the offer with the lowest weighted price for a job.
#include "planning/autoscaler/offer_selector.hpp"

#include <gtest/gtest.h>

#include "unit/planning_samples.hpp"

namespace poppystile::planning {
namespace {

class OfferSelectorTest : public testing::Test {
 protected:
  std::optional<Offer> cheapest(const JobSpec& job_spec, bool prefer_quick_start = false) const {
    return OfferSelector(types, refused).cheapest(job_spec, prefer_quick_start, composition);
  }

  std::vector<protocol::MachineType> types = {
      {"quick", {16000, 0, 64000}, 50, 1, 0.9, 0.3, Seconds{35}, {"a"}},
      {"slow", {32000, 0, 64000}, 50, 0.2, 1.4, 0.5, Seconds{90}, {"a", "b"}}};
  std::set<Offer> refused;
  FleetComposition composition;
  JobSpec job = spec("req-1", JobKind::array, 1, Priority::normal);
};

TEST_F(OfferSelectorTest, ChoosesTheLowestPriceForEachTask) {
  EXPECT_EQ(cheapest(job), (Offer{"slow", "a", true}));
}

TEST_F(OfferSelectorTest, ObeysTheJobsConstraints) {
  job.spot = false;
  EXPECT_EQ(cheapest(job), (Offer{"slow", "a", false}));
  job.zone = "b";
  EXPECT_EQ(cheapest(job), (Offer{"slow", "b", false}));
  job.types = {"quick"};
  EXPECT_EQ(cheapest(job), std::nullopt);
}

TEST_F(OfferSelectorTest, SkipsRefusedOffersAndTypesThatAreTooSmall) {
  refused = {{"slow", "a", true}, {"slow", "b", true}};
  EXPECT_EQ(cheapest(job), (Offer{"quick", "a", true}));
  job.task_resources.cpus = 20000;
  EXPECT_EQ(cheapest(job), (Offer{"slow", "a", false}));
  job.task_resources.cpus = 40000;
  EXPECT_EQ(cheapest(job), std::nullopt);
}

TEST_F(OfferSelectorTest, PrefersAnOfferOfWhichTheFleetHasFewerMachines) {
  composition.add_available({"slow", "a", true});
  EXPECT_EQ(cheapest(job), (Offer{"slow", "b", true}));
}

TEST_F(OfferSelectorTest, PrefersAnOfferWithoutOverdueBoots) {
  composition.overdue[{"slow", "a", true}] = 1;
  EXPECT_EQ(cheapest(job), (Offer{"slow", "b", true}));
}

TEST_F(OfferSelectorTest, WeighsStartDelaysOnlyForServices) {
  EXPECT_EQ(cheapest(job, true), (Offer{"slow", "a", true}));
  job.kind = JobKind::service;
  EXPECT_EQ(cheapest(job, true), (Offer{"quick", "a", true}));
}

}  // namespace
}  // namespace poppystile::planning
