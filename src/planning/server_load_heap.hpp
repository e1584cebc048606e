/// \file
/// A min-heap of servers by load whose entries are updated lazily, when they are read.
#pragma once

#include <algorithm>
#include <cstddef>
#include <optional>
#include <vector>

namespace poppystile::planning {

/// Finds the least loaded server of a set while loads grow and servers leave the set.
///
/// Loads must never decrease: an outdated entry then has too small a load, so that it reaches the
/// front of the heap, where it is updated. Among equal loads, the server with the least index wins.
class ServerLoadHeap {
 public:
  bool is_built() const { return is_built_; }

  /// Builds the heap from the servers for which `is_member` holds; `load` is that of each server.
  template <typename IsMember>
  void build(const std::vector<double>& load, const IsMember& is_member) {
    is_built_ = true;
    for (std::size_t server = 0; server < load.size(); ++server)
      if (is_member(server)) entries_.push_back({load[server], server});
    std::make_heap(entries_.begin(), entries_.end(), comes_later);
  }

  /// Adds a server to a heap that is built. Does nothing before `build`, which adds every member.
  void add(double load, std::size_t server) {
    if (is_built_) push(load, server);
  }

  /// The least loaded server for which `is_member` holds; nothing when there is none. Removes
  /// servers that it finds to be no members any more.
  template <typename IsMember>
  std::optional<std::size_t> least_loaded(const std::vector<double>& load,
                                          const IsMember& is_member) {
    while (!entries_.empty()) {
      const Entry front = entries_.front();
      const bool is_current_member = is_member(front.server);
      if (is_current_member && front.load == load[front.server]) return front.server;
      pop();
      if (is_current_member) push(load[front.server], front.server);
    }
    return std::nullopt;
  }

 private:
  struct Entry {
    double load = 0;
    std::size_t server = 0;
  };

  static bool comes_later(const Entry& a, const Entry& b) {
    return a.load != b.load ? a.load > b.load : a.server > b.server;
  }

  void push(double load, std::size_t server) {
    entries_.push_back({load, server});
    std::push_heap(entries_.begin(), entries_.end(), comes_later);
  }

  void pop() {
    std::pop_heap(entries_.begin(), entries_.end(), comes_later);
    entries_.pop_back();
  }

  std::vector<Entry> entries_;
  bool is_built_ = false;
};

}  // namespace poppystile::planning
