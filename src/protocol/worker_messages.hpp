/// \file
/// Heartbeats of workers, and the commands that respond to them.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "clock.hpp"

namespace poppystile::protocol {

/// The state of a task as its worker reports it.
enum class TaskState : std::uint8_t {
  fetching,
  waiting,  ///< Has its image, waits for the other tasks of its gang.
  running,
  saving,
  exited
};

/// Why a task has exited; `none` unless it has.
enum class ExitCause : std::uint8_t {
  none,
  done,
  stopped,
  error,
  no_room,
  busy,
  unknown,
  peer_lost,       ///< Another task of its gang is gone.
  gang_incomplete  ///< Its gang was not complete in time.
};

/// For logs; not the words on the wire.
const char* to_string(ExitCause cause);

struct ReportedTask {
  std::string job;
  std::uint32_t index = 0;
  std::uint64_t attempt = 0;
  TaskState state = TaskState::fetching;
  ExitCause cause = ExitCause::none;
  bool saved = false;  ///< Whether an exited task has saved its progress.
};

/// What a worker reports, in its own words about itself.
struct Heartbeat {
  std::string machine;
  std::string address;
  std::string type;
  std::string zone;
  bool spot = false;
  std::uint64_t incarnation = 0;  ///< Of the worker's process.
  std::uint64_t sequence = 0;     ///< Counts the heartbeats of an incarnation.
  std::uint64_t token = 0;        ///< The highest fencing token that the worker has seen.
  std::optional<Seconds> preemption_notice;  ///< Time left; nothing: no notice was given.
  std::vector<ReportedTask> tasks;
};

/// What a worker is told to do with one task.
struct Command {
  enum class Op : std::uint8_t { start, stop, forget };

  Op op = Op::start;
  std::string job;
  std::uint32_t index = 0;
  std::uint64_t attempt = 0;
  Seconds grace{0};  ///< Of a stop: the time the task has to save its progress.
};

/// Throws DecodeError. States and causes that this version does not know are no error.
Heartbeat parse_heartbeat(const std::string& body);

/// The response of the leader that holds `token`.
std::string encode_commands(std::uint64_t token, const std::vector<Command>& commands);

/// Tells a worker to report to `leader`; empty when nobody is known to lead.
std::string encode_redirect(const std::string& leader);

/// The name of a task on the wire, such as "req-000412/3".
std::string task_name(const std::string& job, std::uint32_t index);

/// The inverse of `task_name`; false, with the arguments in any state, for a malformed name.
bool split_task_name(const std::string& name, std::string& job, std::uint32_t& index);

}  // namespace poppystile::protocol
