#include "coordination/term_scope.hpp"

#include <gtest/gtest.h>

#include <functional>
#include <string>

namespace poppystile::coordination {
namespace {

TEST(TermScopeTest, RunsCallbackInTheTermInWhichItWasWrapped) {
  TermScope term;
  std::string received;
  const std::function<void(std::string)> callback =
      term.wrap([&](std::string text) { received = std::move(text); });
  callback("first");
  EXPECT_EQ(received, "first");
  callback("second");
  EXPECT_EQ(received, "second");
}

TEST(TermScopeTest, DropsCallbacksOfEarlierTerms) {
  TermScope term;
  int calls = 0;
  const std::function<void()> earlier = term.wrap([&] { ++calls; });
  term.end();
  const std::function<void()> later = term.wrap([&] { ++calls; });
  earlier();
  EXPECT_EQ(calls, 0);
  later();
  EXPECT_EQ(calls, 1);
}

TEST(TermScopeTest, ACallbackMayEndItsOwnTerm) {
  TermScope term;
  int calls = 0;
  const std::function<void()> callback = term.wrap([&] {
    ++calls;
    term.end();
  });
  callback();
  callback();
  EXPECT_EQ(calls, 1);
}

}  // namespace
}  // namespace poppystile::coordination
