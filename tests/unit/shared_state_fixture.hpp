/// \file
/// A shared state cache on a simulated state service, for tests of components that depend on it.
#pragma once

#include <gtest/gtest.h>

#include "coordination/state/shared_state_cache.hpp"
#include "simulation/event_queue.hpp"
#include "simulation/fake_http_caller.hpp"
#include "simulation/state_service.hpp"

namespace poppystile::coordination {

/// Connects a SharedStateCache to a simulated state service in simulated time.
class SharedStateFixture : public testing::Test {
 protected:
  /// Starts the cache and runs for 1 s; fails the test if the cache has not loaded by then.
  void load_shared_state() {
    shared_state.start();
    queue.run_until(1);
    ASSERT_TRUE(shared_state.loaded());
  }

  simulation::EventQueue queue{5};
  simulation::StateService service{queue, 250, 40, 32};
  simulation::FakeHttpCaller caller{queue, service, 0};
  protocol::Settings settings;
  KeyValueClient key_value_client{caller, caller, settings};
  SharedStateCache shared_state{caller, key_value_client};
};

}  // namespace poppystile::coordination
