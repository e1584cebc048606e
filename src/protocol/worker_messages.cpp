#include "protocol/worker_messages.hpp"

#include <charconv>
#include <map>
#include <utility>

#include "constants.hpp"
#include "protocol/json.hpp"
#include "protocol/wire_names.hpp"

namespace poppystile::protocol {

namespace {

// Half of the bytes that a name in a journal entry may have; the other half is for the values that
// are stored next to the machine's name.
constexpr std::size_t max_machine_name_bytes = constants::max_name_bytes / 2;

// Fields that only heartbeats have.
constexpr const char* address_field = "addr";
constexpr const char* incarnation_field = "shift";
constexpr const char* sequence_field = "tick";
constexpr const char* preemption_notice_field = "recall_s";
constexpr const char* cause_field = "cause";
constexpr const char* saved_field = "stored";

// Fields that only commands and redirects have.
constexpr const char* commands_field = "orders";
constexpr const char* operation_field = "verb";
constexpr const char* grace_field = "wind_down_s";
constexpr const char* leader_field = "foreman";

/// The enumerator for `wire_value`, or `fallback` for a value that this version does not support.
template <typename Enum>
Enum value_or(const std::map<std::string, Enum>& wire_values, const std::string& wire_value,
              Enum fallback) {
  const auto found = wire_values.find(wire_value);
  return found == wire_values.end() ? fallback : found->second;
}

TaskState parse_state(const std::string& wire_value) {
  static const std::map<std::string, TaskState> wire_values = {{"pulling", TaskState::fetching},
                                                               {"waiting", TaskState::waiting},
                                                               {"running", TaskState::running},
                                                               {"saving", TaskState::saving},
                                                               {"exited", TaskState::exited}};
  // A task in a state that this version does not support still occupies its machine.
  return value_or(wire_values, wire_value, TaskState::running);
}

ExitCause parse_cause(const std::string& wire_value) {
  static const std::map<std::string, ExitCause> wire_values = {
      {"done", ExitCause::done},       {"halted", ExitCause::stopped},
      {"error", ExitCause::error},     {"no_room", ExitCause::no_room},
      {"busy", ExitCause::busy},       {"unknown", ExitCause::unknown},
      {"peers", ExitCause::peer_lost}, {"alone", ExitCause::gang_incomplete}};
  return value_or(wire_values, wire_value, ExitCause::error);
}

ReportedTask parse_task(const Json& item) {
  if (!item.is_object()) throw DecodeError(wire::tasks, "holds no object");
  ReportedTask out;
  if (!split_task_name(need_text(item, wire::task), out.job, out.index))
    throw DecodeError(wire::task, "is malformed");
  out.attempt = need_count(item, wire::attempt);
  out.state = parse_state(need_text(item, wire::state));
  if (out.state != TaskState::exited) return out;
  out.cause = parse_cause(need_text(item, cause_field));
  out.saved = find(item, saved_field) != nullptr && need_flag(item, saved_field);
  return out;
}

std::string need_machine_name(const Json& root) {
  std::string name = need_text(root, wire::machine);
  if (name.empty() || name.size() > max_machine_name_bytes ||
      name.find_first_of(" /\n") != std::string::npos)
    throw DecodeError(wire::machine, "is malformed");
  return name;
}

const char* operation_value(Command::Op op) {
  switch (op) {
    case Command::Op::start:
      return "start";
    case Command::Op::stop:
      return "stop";
    case Command::Op::forget:
      return "reap";
  }
  return "reap";
}

Json encode_command(const Command& command) {
  Json out = {{operation_field, operation_value(command.op)},
              {wire::task, task_name(command.job, command.index)},
              {wire::attempt, command.attempt}};
  if (command.op == Command::Op::stop) out[grace_field] = command.grace.count();
  return out;
}

}  // namespace

const char* to_string(ExitCause cause) {
  switch (cause) {
    case ExitCause::none:
      return "none";
    case ExitCause::done:
      return "done";
    case ExitCause::stopped:
      return "stopped";
    case ExitCause::error:
      return "error";
    case ExitCause::no_room:
      return "no_room";
    case ExitCause::busy:
      return "busy";
    case ExitCause::unknown:
      return "unknown";
    case ExitCause::peer_lost:
      return "peer_lost";
    case ExitCause::gang_incomplete:
      return "gang_incomplete";
  }
  return "unknown";
}

std::string task_name(const std::string& job, std::uint32_t index) {
  return job + "/" + std::to_string(index);
}

bool split_task_name(const std::string& name, std::string& job, std::uint32_t& index) {
  const auto slash = name.rfind('/');
  if (slash == std::string::npos || slash == 0) return false;
  job = name.substr(0, slash);
  const char* end = name.data() + name.size();
  const auto [stop, error] = std::from_chars(name.data() + slash + 1, end, index);
  return error == std::errc{} && stop == end;
}

Heartbeat parse_heartbeat(const std::string& body) {
  const Json root = parse_object(body);
  Heartbeat out;
  out.machine = need_machine_name(root);
  out.address = need_text(root, address_field);
  out.type = need_text(root, wire::machine_type);
  out.zone = need_text(root, wire::zone);
  out.spot = need_flag(root, wire::spot);
  out.incarnation = need_count(root, incarnation_field);
  out.sequence = need_count(root, sequence_field);
  out.token = need_count(root, wire::fencing_token);
  if (find(root, preemption_notice_field) != nullptr)
    out.preemption_notice = need_seconds(root, preemption_notice_field);
  for (const Json& item : need_list(root, wire::tasks)) out.tasks.push_back(parse_task(item));
  return out;
}

std::string encode_commands(std::uint64_t token, const std::vector<Command>& commands) {
  Json list = Json::array();
  for (const auto& item : commands) list.push_back(encode_command(item));
  return Json{{wire::fencing_token, token}, {commands_field, std::move(list)}}.dump();
}

std::string encode_redirect(const std::string& leader) {
  return leader.empty() ? "{}" : Json{{leader_field, leader}}.dump();
}

}  // namespace poppystile::protocol
