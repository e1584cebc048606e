/// \file
/// The tasks of one simulated worker: image fetches, runs and exits.
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

/// Starts and stops tasks on one machine and reports them to the invariant checker. While the
/// machine hangs, no task begins or ends; events that become due meanwhile run right after the
/// hang.
class TaskRunner : public GangHost {
 public:
  /// `on_change` runs each time a task has changed its stage.
  TaskRunner(EventQueue& queue, InvariantChecker& invariants, Gangs& gangs, HostMachine host,
             protocol::MachineType type, std::function<void()> on_change);

  /// Starts an attempt of a task. The attempt exits at once if its job is unknown, another attempt
  /// of the task has not exited, or the machine lacks the resources. Does nothing if this attempt
  /// exists already.
  void start(const std::string& task_name, std::uint64_t attempt);
  /// Stops an attempt. A task of a gang has the time `grace` to save its progress. Does nothing if
  /// the attempt does not exist or has exited.
  void stop(const std::string& task_name, std::uint64_t attempt, Seconds grace);
  /// Removes an exited attempt from the list of tasks.
  void forget(const std::string& task_name, std::uint64_t attempt);
  /// Removes all tasks immediately.
  void kill_all();
  /// Stops the machine and removes all of its tasks. No task begins or ends afterwards.
  void shut_down();

  void hang(Seconds duration) { hanging_until_ = queue_.now() + duration.count(); }
  bool is_hanging() const override { return queue_.now() < hanging_until_; }
  /// Simulated time, in seconds, at which the latest hang ends.
  double hanging_until() const { return hanging_until_; }
  /// Sets whether every task that starts from now on fails.
  void set_tasks_fail(bool fail) { tasks_fail_ = fail; }
  bool do_tasks_fail() const { return tasks_fail_; }
  /// The machine's resources minus those of the tasks that have not exited.
  protocol::Resources free_resources() const;
  /// Encodes the tasks for a heartbeat.
  protocol::Json encode_tasks() const;

 private:
  struct Task {
    std::string job;
    std::uint32_t index = 0;
    std::uint64_t attempt = 0;
    std::string stage;  // pulling, waiting, running, exited
    std::string cause;  // reason of the exit
    bool saved = false;
    protocol::Resources resources;
    std::uint64_t run = 0;  // unique on this machine; identifies the run that a timer belongs to
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
  std::map<std::string, double> images_;  // by name: simulated time at which the fetch ends
};

}  // namespace poppystile::simulation
