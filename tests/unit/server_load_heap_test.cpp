/// \file
/// Tests of the heap of servers by load, while loads grow and servers join or leave the set.
#include "planning/server_load_heap.hpp"

#include <gtest/gtest.h>

namespace poppystile::planning {
namespace {

class ServerLoadHeapTest : public testing::Test {
 protected:
  std::optional<std::size_t> least_loaded() {
    return heap.least_loaded(load, [this](std::size_t server) { return is_member[server]; });
  }
  void build() {
    heap.build(load, [this](std::size_t server) { return is_member[server]; });
  }

  std::vector<double> load = {2, 1, 3};
  std::vector<bool> is_member = {true, true, true};
  ServerLoadHeap heap;
};

TEST_F(ServerLoadHeapTest, FollowsLoadsThatGrow) {
  build();
  EXPECT_EQ(least_loaded(), 1u);
  load[1] = 5;
  EXPECT_EQ(least_loaded(), 0u);
  load[0] = 4;
  EXPECT_EQ(least_loaded(), 2u);
}

TEST_F(ServerLoadHeapTest, PrefersTheFirstServerAmongEqualLoads) {
  load = {1, 1, 1};
  build();
  EXPECT_EQ(least_loaded(), 0u);
}

TEST_F(ServerLoadHeapTest, DropsServersThatLeaveTheSet) {
  build();
  is_member = {false, false, true};
  EXPECT_EQ(least_loaded(), 2u);
  is_member[2] = false;
  EXPECT_EQ(least_loaded(), std::nullopt);
}

TEST_F(ServerLoadHeapTest, TakesServersOnlyOnceItIsBuilt) {
  is_member[1] = false;
  heap.add(load[1], 1);
  EXPECT_FALSE(heap.is_built());
  build();
  EXPECT_EQ(least_loaded(), 0u);
  is_member[1] = true;
  heap.add(load[1], 1);
  EXPECT_EQ(least_loaded(), 1u);
}

}  // namespace
}  // namespace poppystile::planning
