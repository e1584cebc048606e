/// \file
/// Callbacks that run only within the leader's term in which they were created.
#pragma once

#include <cstdint>
#include <utility>

namespace poppystile::coordination {

/// Wraps callbacks so that they run only in the term in which they were wrapped.
///
/// Each component that works for the leader has a TermScope and ends it together with the term.
/// Responses and timers of an earlier term then have no effect. The scope must outlive every
/// callback that it has wrapped.
class TermScope {
 public:
  TermScope() = default;
  TermScope(const TermScope&) = delete;
  TermScope& operator=(const TermScope&) = delete;

  /// Ends the current term and begins the next one. Callbacks wrapped so far do not run any more.
  void end() { ++term_; }

  /// Returns a callable that forwards its arguments to `callback` during the current term and does
  /// nothing afterwards.
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
