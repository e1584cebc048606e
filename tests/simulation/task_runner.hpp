/// \file
/// The tasks of one simulated worker: images, runs, exits.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "protocol/cloud_messages.hpp"
#include "protocol/json.hpp"
#include "simulation/event_queue.hpp"
#include "simulation/gangs.hpp"
#include "simulation/invariant_checker.hpp"

namespace poppystile::simulation {

/// Starts and stops tasks on one machine and tells the checker what is on it. While the machine
/// hangs, nothing begins or ends; what is due then happens right after.
class TaskRunner : public GangHost {
 public:
  /// `on_change` runs whenever a task has reached another stage.
  TaskRunner(EventQueue& queue, InvariantChecker& invariants, Gangs& gangs, HostMachine host,
             protocol::MachineType type, std::function<void()> on_change);

  /// Starts an attempt of a task; it exits at once if it is unknown, runs already or has no room.
  /// Does nothing if the attempt is known.
  void start(const std::string& task_name, std::uint64_t attempt);
  /// Stops an attempt; a gang's task gets `grace` to save its progress.
  void stop(const std::string& task_name, std::uint64_t attempt, Seconds grace);
  /// Forgets an attempt that has exited.
  void forget(const std::string& task_name, std::uint64_t attempt);
  /// Removes all tasks at once.
  void kill_all();
  /// The machine is gone, with all its tasks.
  void shut_down();

  void hang(Seconds duration) { hanging_until_ = queue_.now() + duration.count(); }
  bool is_hanging() const override { return queue_.now() < hanging_until_; }
  /// Simulated time at which it hangs no longer.
  double hanging_until() const { return hanging_until_; }
  /// Whether every task that starts now fails.
  void set_tasks_fail(bool fail) { tasks_fail_ = fail; }
  bool do_tasks_fail() const { return tasks_fail_; }
  /// What is not taken by tasks that have not exited.
  protocol::Resources free_resources() const;
  /// The tasks as a heartbeat carries them.
  protocol::Json encode_tasks() const;

 private:
  struct Task {
    std::string job;
    std::uint32_t index = 0;
    std::uint64_t attempt = 0;
    std::string stage;  // pulling, waiting, running, exited
    std::string cause;  // of the exit
    bool saved = false;
    protocol::Resources resources;
    std::uint64_t run = 0;  // unique on this machine: tells whether a timer still concerns it
  };

  void start_gang_task(std::uint64_t run) override;
  void end_gang_task(std::uint64_t run, const std::string& cause, bool saved) override;
  bool is_gang(const Task& task) const;
  bool will_fail(const Task& task) const;
  bool has_unexited_attempt(const Task& task) const;
  Task* find(const std::string& task_name, std::uint64_t attempt);
  Task* find_unexited(std::uint64_t run);
  double image_ready_at(const protocol::JobSpec& spec);
  void reject(Task task, const std::string& cause);
  void begin(std::uint64_t run);
  void begin_alone(Task& task);
  void finish(std::uint64_t run, const std::string& cause);
  void exit(Task& task, const std::string& cause);
  void remove(const Task& task);

  EventQueue& queue_;
  InvariantChecker& invariants_;
  Gangs& gangs_;
  HostMachine host_;
  protocol::MachineType type_;
  std::function<void()> on_change_;
  bool is_up_ = true;
  bool tasks_fail_ = false;
  double hanging_until_ = 0;  // simulated time
  std::uint64_t last_run_ = 0;
  std::vector<Task> tasks_;
  std::map<std::string, double> images_;  // simulated time at which each is, or will be, there
};

}  // namespace poppystile::simulation
