// Reports of workers and the commands that answer them.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "clock.hpp"

namespace poppystile::protocol {

enum class TaskState : std::uint8_t {
  fetching,
  waiting,  // has its image, waits for the other tasks of its gang
  running,
  saving,
  exited
};
enum class ExitCause : std::uint8_t {
  none,
  done,
  stopped,
  error,
  no_room,
  busy,
  unknown,
  peer_lost,       // another task of its gang is gone
  gang_incomplete  // its gang was not complete in time
};
// For logs.
const char* to_string(ExitCause cause);

struct ReportedTask {
  std::string job;
  std::uint32_t index = 0;
  std::uint64_t attempt = 0;
  TaskState state = TaskState::fetching;
  ExitCause cause = ExitCause::none;
  bool saved = false;
};

struct Heartbeat {
  std::string machine;
  std::string address;
  std::string type;
  std::string zone;
  bool spot = false;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  std::uint64_t token = 0;
  std::optional<Seconds> preemption_notice;
  std::vector<ReportedTask> tasks;
};

struct Command {
  enum class Op : std::uint8_t { start, stop, forget } op = Op::start;
  std::string job;
  std::uint32_t index = 0;
  std::uint64_t attempt = 0;
  Seconds grace{0};
};

// Throws DecodeError.
Heartbeat parse_heartbeat(const std::string& body);
std::string encode_commands(std::uint64_t token, const std::vector<Command>& commands);
// Tells a worker to report elsewhere; empty when nobody is known to lead.
std::string encode_redirect(const std::string& leader);

// "req-000412/3" in one piece.
std::string task_name(const std::string& job, std::uint32_t index);
bool split_task_name(const std::string& name, std::string& job, std::uint32_t& index);

}  // namespace poppystile::protocol
