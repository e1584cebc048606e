/// \file
/// Heartbeats of workers, and the commands in the responses to them.
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
  waiting,  ///< The image is fetched; the other tasks of the gang are not all present yet.
  running,
  saving,
  exited
};

/// Why a task has exited; `none` while it has not.
enum class ExitCause : std::uint8_t {
  none,
  done,
  stopped,
  error,
  no_room,         ///< The machine lacked the resources for the task.
  busy,            ///< Another attempt of the task had not exited on the machine.
  unknown,         ///< The job is unknown to the worker.
  peer_lost,       ///< Another task of the gang was lost.
  gang_incomplete  ///< The gang was not complete before its assembly timeout.
};

/// The name of the cause in logs; the wire values differ.
const char* to_string(ExitCause cause);

/// The state of one task in a heartbeat.
struct ReportedTask {
  std::string job;
  std::uint32_t index = 0;
  std::uint64_t attempt = 0;
  TaskState state = TaskState::fetching;
  ExitCause cause = ExitCause::none;
  bool saved = false;  ///< Whether an exited task has saved its progress.
};

/// What a worker reports about its machine and its tasks.
struct Heartbeat {
  std::string machine;
  std::string address;
  std::string type;
  std::string zone;
  bool spot = false;
  std::uint64_t incarnation = 0;  ///< Identifies the worker's process.
  std::uint64_t sequence = 0;     ///< Number of the heartbeat within its incarnation.
  std::uint64_t token = 0;        ///< The highest fencing token that the worker has seen.
  std::optional<Seconds> preemption_notice;  ///< Time until the preemption; nullopt: no notice.
  std::vector<ReportedTask> tasks;
};

/// A command to a worker about one attempt of a task.
struct Command {
  /// `forget` removes an exited attempt from the worker's heartbeats.
  enum class Op : std::uint8_t { start, stop, forget };

  Op op = Op::start;
  std::string job;
  std::uint32_t index = 0;
  std::uint64_t attempt = 0;
  Seconds grace{0};  ///< For a stop: the time that the task has to save its progress.
};

/// Throws DecodeError if the heartbeat is malformed. Accepts states and causes that this version
/// does not support: such a task counts as running, or as exited with `ExitCause::error`.
Heartbeat parse_heartbeat(const std::string& body);

/// The body of the response with commands, from the leader with the fencing token `token`.
std::string encode_commands(std::uint64_t token, const std::vector<Command>& commands);

/// The body of a response that redirects a worker to `leader`; pass an empty string if the leader
/// is unknown.
std::string encode_redirect(const std::string& leader);

/// The name of a task on the wire, such as "req-000412/3".
std::string task_name(const std::string& job, std::uint32_t index);

/// The inverse of `task_name`. Returns false for a malformed name; `job` and `index` are then
/// unspecified.
bool split_task_name(const std::string& name, std::string& job, std::uint32_t& index);

}  // namespace poppystile::protocol
