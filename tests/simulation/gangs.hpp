/// \file
/// How the tasks of a gang wait for one another, run, stop and end together: the users' table for
/// workers, played for all machines of a simulation.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "simulation/event_queue.hpp"
#include "simulation/invariant_checker.hpp"

namespace poppystile::simulation {

/// The machine that a gang's task is on. `run` is the host's own name for the run of the task.
class GangHost {
 public:
  virtual ~GangHost() = default;
  /// All tasks of the gang are there: the task begins to work.
  virtual void start_gang_task(std::uint64_t run) = 0;
  /// The task exits. `saved`: its progress has been saved.
  virtual void end_gang_task(std::uint64_t run, const std::string& cause, bool saved) = 0;
  virtual bool is_hanging() const = 0;
};

/// How long the tasks of a gang wait for one another.
struct GangTiming {
  /// After which a task that waits for the others to start gives up.
  Seconds start_timeout{40};
  /// After which all tasks have noticed that one of them is gone, and a save fails that some have
  /// not joined.
  Seconds peer_timeout{6};
};

/// All gangs of a simulation, by attempt.
class Gangs {
 public:
  Gangs(EventQueue& queue, InvariantChecker& invariants, const GangTiming& timing)
      : queue_(queue), invariants_(invariants), timing_(timing) {}

  /// A task of this attempt has its image and waits for the others.
  void join(const std::string& job, std::uint64_t attempt, std::uint32_t index, GangHost& host,
            std::uint64_t run);
  /// A task is gone, for whatever reason.
  void leave(const std::string& job, std::uint64_t attempt, std::uint32_t index);
  /// A task is to stop within `grace`. Progress is saved if all tasks are to stop in time.
  void stop(const std::string& job, std::uint64_t attempt, std::uint32_t index, Seconds grace);

  /// Attempts of which all tasks were there at once.
  std::uint64_t started() const { return started_; }
  /// Attempts that were stopped with their progress saved.
  std::uint64_t saved() const { return saved_; }
  /// Attempts that had started and lost a task.
  std::uint64_t failed() const { return failed_; }
  /// Tasks that gave up waiting for the others.
  std::uint64_t incomplete() const { return incomplete_; }

 private:
  struct Member {
    GangHost* host = nullptr;
    std::uint64_t run = 0;
    bool is_stopping = false;
  };
  struct Attempt {
    std::map<std::uint32_t, Member> members;  // by task
    bool is_started = false;
    bool is_ended = false;
    double started_at = 0;   // simulated time
    double stopped_at = -1;  // simulated time of the first stop; negative: none
  };
  using Key = std::pair<std::string, std::uint64_t>;  // job and attempt

  void start(const Key& key);
  static bool has_hanging_host(const Attempt& attempt);
  void check_hosts(const Key& key);
  void complete(const Key& key);
  void fail(const Key& key);
  void save(const Key& key);
  static bool all_stopping(const Attempt& attempt);
  void end_all_tasks(const Key& key, const std::string& cause, bool saved);
  /// Seconds of work that the attempt has done, with what was saved before it.
  double progress_s(const Key& key);
  double total_work_s(const std::string& job);

  EventQueue& queue_;
  InvariantChecker& invariants_;
  GangTiming timing_;
  std::map<Key, Attempt> attempts_;
  std::map<std::string, double> saved_progress_s_;  // by job
  std::map<std::string, double> total_work_s_;      // by job
  std::uint64_t started_ = 0, saved_ = 0, failed_ = 0, incomplete_ = 0;
};

}  // namespace poppystile::simulation
