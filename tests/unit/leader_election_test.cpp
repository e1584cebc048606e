// Elections: of controllers that run at the same moment one wins, and no token is had twice.
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
        store(*this, *this, settings),
        shared_state(*this, store),
        election(*this, store, shared_state, name, queue.random()) {
    shared_state.start();
    election.start();
  }
  protocol::Settings settings;
  KeyValueClient store;
  SharedStateCache shared_state;
  LeaderElection election;
};

TEST(Election, OneOfThoseThatRunAtOnceWins) {
  int contested = 0;
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    simulation::EventQueue queue(seed);
    simulation::StateService service(queue, 250, 40, 32);
    std::vector<std::unique_ptr<Candidate>> all;
    std::map<std::uint64_t, Candidate*> winners;
    for (const char* name : {"stile-0", "stile-1", "stile-2"}) {
      all.push_back(std::make_unique<Candidate>(queue, service, name));
      Candidate* self = all.back().get();
      self->election.on_elected([&winners, &contested, self] {
        const auto token = self->election.token();
        EXPECT_TRUE(winners.emplace(token, self).second) << "token " << token << " had twice";
        ++contested;
      });
    }
    // The leader gives its grant back over and over, and everybody runs.
    for (int turn = 0; turn < 10; ++turn) {
      queue.run_until(queue.now() + 1);
      for (auto& each : all)
        if (each->election.is_leader()) each->election.resign("the test", Seconds{0.3});
    }
    EXPECT_GE(winners.size(), 8u);
  }
  EXPECT_GE(contested, 480);
}

}  // namespace
}  // namespace poppystile::coordination
