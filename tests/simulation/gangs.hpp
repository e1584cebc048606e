/// \file
/// Simulates how the tasks of a gang wait for one another, run, stop and end together, as the users
/// specify it for workers. One object covers all machines of a simulation.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "simulation/event_queue.hpp"
#include "simulation/invariant_checker.hpp"

namespace poppystile::simulation {

/// The machine that runs a task of a gang. `run` identifies one run of a task on this machine.
class GangHost {
 public:
  virtual ~GangHost() = default;
  /// Called when all tasks of the gang have joined: the task starts its work.
  virtual void start_gang_task(std::uint64_t run) = 0;
  /// Makes the task exit with `cause`. `saved` says whether its progress has been saved.
  virtual void end_gang_task(std::uint64_t run, const std::string& cause, bool saved) = 0;
  virtual bool is_hanging() const = 0;
};

/// The timeouts within a gang.
struct GangTiming {
  /// Time after which a task exits if not all tasks of its gang have joined.
  Seconds start_timeout{40};
  /// Time within which all tasks detect that one of them has been lost; also the time within which
  /// all tasks must have been stopped after the first one, or else saving their progress fails.
  Seconds peer_timeout{6};
};

/// All gangs of a simulation, by attempt.
class Gangs {
 public:
  Gangs(EventQueue& queue, InvariantChecker& invariants, const GangTiming& timing)
      : queue_(queue), invariants_(invariants), timing_(timing) {}

  /// Called when a task of this attempt has its image and waits for the other tasks. Starts the
  /// gang if it is the last one.
  void join(const std::string& job, std::uint64_t attempt, std::uint32_t index, GangHost& host,
            std::uint64_t run);
  /// Called when a task has left its machine, for any reason. Fails a started attempt that has not
  /// ended.
  void leave(const std::string& job, std::uint64_t attempt, std::uint32_t index);
  /// Stops a task within `grace`. If the job has checkpoints, the attempt's whole progress is saved
  /// when `grace` is long enough for a save and all of its tasks are stopped within the peer
  /// timeout of the first one; otherwise only its progress up to the last periodic checkpoint is
  /// kept.
  void stop(const std::string& job, std::uint64_t attempt, std::uint32_t index, Seconds grace);

  /// Number of attempts in which all tasks joined.
  std::uint64_t started() const { return started_; }
  /// Number of attempts that were stopped with their progress saved.
  std::uint64_t saved() const { return saved_; }
  /// Number of started attempts that failed because a task left its machine, its machine hung, or
  /// not all tasks were stopped in time.
  std::uint64_t failed() const { return failed_; }
  /// Number of tasks that exited since their gang was still incomplete after the start timeout.
  std::uint64_t incomplete() const { return incomplete_; }

 private:
  struct Member {
    GangHost* host = nullptr;
    std::uint64_t run = 0;
    bool is_stopping = false;
  };
  struct Attempt {
    std::map<std::uint32_t, Member> members;  // by index of the task
    bool is_started = false;
    bool is_ended = false;
    double started_at = 0;   // simulated time
    double stopped_at = -1;  // simulated time of the first stop; negative if there was none
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
  /// Seconds of work done by this attempt, plus the progress that earlier attempts saved.
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
