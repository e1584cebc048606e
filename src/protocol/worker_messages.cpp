#include "protocol/worker_messages.hpp"

#include <charconv>
#include <map>

#include "constants.hpp"
#include "protocol/json.hpp"

namespace poppystile::protocol {

namespace {

TaskState parse_state(const std::string& word) {
  static const std::map<std::string, TaskState> words = {{"pulling", TaskState::fetching},
                                                         {"waiting", TaskState::waiting},
                                                         {"running", TaskState::running},
                                                         {"saving", TaskState::saving},
                                                         {"exited", TaskState::exited}};
  const auto it = words.find(word);
  // A state this version does not know still occupies its machine.
  return it == words.end() ? TaskState::running : it->second;
}

ExitCause parse_cause(const std::string& word) {
  static const std::map<std::string, ExitCause> words = {
      {"done", ExitCause::done},       {"halted", ExitCause::stopped},
      {"error", ExitCause::error},     {"no_room", ExitCause::no_room},
      {"busy", ExitCause::busy},       {"unknown", ExitCause::unknown},
      {"peers", ExitCause::peer_lost}, {"alone", ExitCause::gang_incomplete}};
  const auto it = words.find(word);
  return it == words.end() ? ExitCause::error : it->second;
}

ReportedTask parse_task(const Json& each) {
  if (!each.is_object()) throw DecodeError("pieces holds no object");
  ReportedTask out;
  if (!split_task_name(need_text(each, "piece"), out.job, out.index))
    throw DecodeError("piece is malformed");
  out.attempt = need_count(each, "try");
  out.state = parse_state(need_text(each, "stage"));
  if (out.state == TaskState::exited) {
    out.cause = parse_cause(need_text(each, "cause"));
    const Json* saved = find(each, "stored");
    out.saved = saved != nullptr && as_flag(*saved, "stored");
  }
  return out;
}

const char* op_word(Command::Op op) {
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

}  // namespace

const char* to_string(ExitCause cause) {
  static constexpr const char* words[] = {"none",    "done",      "stopped",
                                          "error",   "no_room",   "busy",
                                          "unknown", "peer lost", "gang incomplete"};
  return words[static_cast<std::size_t>(cause)];
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
  out.machine = need_text(root, "stile");
  if (out.machine.empty() || out.machine.size() > constants::max_name_bytes / 2 ||
      out.machine.find_first_of(" /\n") != std::string::npos)
    throw DecodeError("stile is malformed");
  out.address = need_text(root, "addr");
  out.type = need_text(root, "build");
  out.zone = need_text(root, "yard");
  out.spot = need_flag(root, "loaners");
  out.incarnation = need_count(root, "shift");
  out.sequence = need_count(root, "tick");
  out.token = need_count(root, "baton");
  if (const Json* notice = find(root, "recall_s"))
    out.preemption_notice = as_seconds(*notice, "recall_s");
  for (const Json& each : need_list(root, "pieces")) out.tasks.push_back(parse_task(each));
  return out;
}

std::string encode_commands(std::uint64_t token, const std::vector<Command>& commands) {
  Json orders = Json::array();
  for (const auto& each : commands) {
    Json order = {{"verb", op_word(each.op)},
                  {"piece", task_name(each.job, each.index)},
                  {"try", each.attempt}};
    if (each.op == Command::Op::stop) order["wind_down_s"] = each.grace.count();
    orders.push_back(std::move(order));
  }
  return Json{{"baton", token}, {"orders", std::move(orders)}}.dump();
}

std::string encode_redirect(const std::string& leader) {
  return leader.empty() ? "{}" : Json{{"foreman", leader}}.dump();
}

}  // namespace poppystile::protocol
