/// \file
/// Callbacks that must not outlive the leader's term in which they were made.
#pragma once

#include <cstdint>
#include <utility>

namespace poppystile::coordination {

/// Wraps callbacks so that they run only in the term in which they were wrapped.
///
/// A part that works for the leader keeps one and ends it when the term does: answers and timers of
/// an earlier term then do nothing. Must outlive the callbacks that it has wrapped, as their owner
/// does.
class TermScope {
 public:
  TermScope() = default;
  TermScope(const TermScope&) = delete;
  TermScope& operator=(const TermScope&) = delete;

  /// Ends the present term and begins the next: callbacks wrapped so far will not run any more.
  void end() { ++term_; }

  /// Returns a callable that passes its arguments to `callback` in the present term, and does
  /// nothing after it.
  template <typename Callback>
  auto wrap(Callback callback) const {
    return [this, term = term_, callback = std::move(callback)](auto&&... arguments) mutable {
      if (term == term_) callback(std::forward<decltype(arguments)>(arguments)...);
    };
  }

 private:
  std::uint64_t term_ = 0;
};

}  // namespace poppystile::coordination
