// A directory over a simulated state service, for tests of what stands on it.
#pragma once

#include <gtest/gtest.h>

#include "coordination/directory.hpp"
#include "world/event_queue.hpp"
#include "world/lone_caller.hpp"
#include "world/state_service.hpp"

namespace poppystile::coordination {

class DirectoryFixture : public testing::Test {
 protected:
  // Lets the directory read what the state service holds.
  void load_directory() {
    directory.start();
    queue.run_until(1);
    ASSERT_TRUE(directory.loaded());
  }

  world::EventQueue queue{5};
  world::StateService service{queue, 250, 40, 32};
  world::LoneCaller caller{queue, service, 0};
  protocol::Settings settings;
  StateStore store{caller, caller, settings};
  Directory directory{caller, store};
};

}  // namespace poppystile::coordination
