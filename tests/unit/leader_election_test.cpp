// When several controllers campaign at the same time, one of them wins, and no two terms have the
// same token.
#include "coordination/election/leader_election.hpp"

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <vector>

#include "constants.hpp"
#include "simulation/event_queue.hpp"
#include "simulation/fake_http_caller.hpp"
#include "simulation/state_service.hpp"

namespace poppystile::coordination {
namespace {

struct Candidate : simulation::FakeHttpCaller {
  Candidate(simulation::EventQueue& queue, simulation::StateService& service,
            const std::string& name)
      : FakeHttpCaller(queue, service, 0),
        key_value_client(*this, *this, settings),
        shared_state(*this, key_value_client),
        election(*this, key_value_client, shared_state, name, queue.random()) {
    shared_state.start();
    election.start();
  }
  protocol::Settings settings;
  KeyValueClient key_value_client;
  SharedStateCache shared_state;
  LeaderElection election;
};

TEST(LeaderElectionTest, OneOfSeveralSimultaneousCampaignsWins) {
  int elections = 0;
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    simulation::EventQueue queue(seed);
    simulation::StateService service(queue, 250, 40, 32);
    std::vector<std::unique_ptr<Candidate>> candidates;
    std::map<std::uint64_t, Candidate*> winners;
    for (const char* name : {"stile-0", "stile-1", "stile-2"}) {
      candidates.push_back(std::make_unique<Candidate>(queue, service, name));
      Candidate* self = candidates.back().get();
      self->election.on_elected([&winners, &elections, self] {
        const auto token = self->election.token();
        EXPECT_TRUE(winners.emplace(token, self).second)
            << "token " << token << " belongs to two terms";
        ++elections;
      });
    }
    // The leader resigns repeatedly, and after each resignation all controllers campaign.
    for (int term = 0; term < 10; ++term) {
      queue.run_until(queue.now() + 1);
      for (auto& candidate : candidates)
        if (candidate->election.is_leader()) candidate->election.resign("the test", Seconds{0.3});
    }
    EXPECT_GE(winners.size(), 8u);
  }
  EXPECT_GE(elections, 480);
}

}  // namespace
}  // namespace poppystile::coordination
