#include "coordination/term_scope.hpp"

#include <gtest/gtest.h>

#include <functional>
#include <string>

namespace poppystile::coordination {
namespace {

TEST(TermScopeTest, RunsCallbackInTheTermInWhichItWasWrapped) {
  TermScope scope;
  std::string received;
  const std::function<void(std::string)> callback =
      scope.wrap([&](std::string text) { received = std::move(text); });
  callback("first");
  EXPECT_EQ(received, "first");
  callback("second");
  EXPECT_EQ(received, "second");
}

TEST(TermScopeTest, DropsCallbacksOfEarlierTerms) {
  TermScope scope;
  int calls = 0;
  const std::function<void()> earlier = scope.wrap([&] { ++calls; });
  scope.end();
  const std::function<void()> later = scope.wrap([&] { ++calls; });
  earlier();
  EXPECT_EQ(calls, 0);
  later();
  EXPECT_EQ(calls, 1);
}

TEST(TermScopeTest, ACallbackMayEndItsOwnTerm) {
  TermScope scope;
  int calls = 0;
  const std::function<void()> callback = scope.wrap([&] {
    ++calls;
    scope.end();
  });
  callback();
  callback();
  EXPECT_EQ(calls, 1);
}

}  // namespace
}  // namespace poppystile::coordination
