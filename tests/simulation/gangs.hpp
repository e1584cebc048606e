/// \file
/// How the tasks of a gang wait for one another, run, stop and end together: the users' table for
/// workers, played for all machines of the simulated world.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "simulation/event_queue.hpp"
#include "simulation/invariant_checker.hpp"

namespace poppystile::simulation {

/// The machine that a gang's task is on.
class GangHost {
 public:
  virtual ~GangHost() = default;
  virtual void begin_gang_task(std::uint64_t task) = 0;
  virtual void end_gang_task(std::uint64_t task, const std::string& cause, bool stored) = 0;
  virtual bool is_hanging() const = 0;
};

struct GangTiming {
  double wait_s = 40;
  double peer_s = 6;
};

class Gangs {
 public:
  Gangs(EventQueue& queue, InvariantChecker& invariants, const GangTiming& timing)
      : queue_(queue), invariants_(invariants), timing_(timing) {}

  /// A task of this attempt has its image. `task` is the host's own name for it.
  void join(const std::string& job, std::uint64_t attempt, std::uint32_t index, GangHost& host,
            std::uint64_t task);
  /// A task is gone, for whatever reason.
  void leave(const std::string& job, std::uint64_t attempt, std::uint32_t index);
  void stop(const std::string& job, std::uint64_t attempt, std::uint32_t index, double grace_s);

  std::uint64_t begun() const { return begun_; }
  std::uint64_t saved() const { return saves_; }
  std::uint64_t failed() const { return failures_; }
  std::uint64_t incomplete() const { return incomplete_; }

 private:
  struct Member {
    GangHost* host = nullptr;
    std::uint64_t task = 0;
    bool told_to_stop = false;
  };
  struct Attempt {
    std::map<std::uint32_t, Member> members;
    bool begun = false;
    bool over = false;
    double begun_at = 0;
    double stopped_at = -1;  // the first stop
  };
  using Key = std::pair<std::string, std::uint64_t>;

  void begin(const Key& key);
  static bool any_host_hangs(const Attempt& attempt);
  void watch(const Key& key);
  void finish(const Key& key);
  void fail(const Key& key);
  void store(const Key& key);
  bool all_told(const Key& key);
  void evict_all(const Key& key, const std::string& cause, bool stored);
  /// Seconds of work that the attempt has done, with what was saved before it.
  double progress_s(const Key& key);
  double total_s(const std::string& job);

  EventQueue& queue_;
  InvariantChecker& invariants_;
  GangTiming timing_;
  std::map<Key, Attempt> attempts_;
  std::map<std::string, double> saved_s_;  // progress that is safe, by job
  std::map<std::string, double> total_s_;
  std::uint64_t begun_ = 0, saves_ = 0, failures_ = 0, incomplete_ = 0;
};

}  // namespace poppystile::simulation
