#include "protocol/settings.hpp"

#include <arpa/inet.h>

#include <charconv>

#include "constants.hpp"
#include "protocol/json.hpp"

namespace poppystile::protocol {

transport::Endpoint parse_endpoint(const std::string& text, const char* name) {
  const auto colon = text.rfind(':');
  const std::string problem = std::string(name) + ": expected IPv4:PORT, got \"" + text + "\"";
  if (colon == std::string::npos) throw DecodeError(problem);
  transport::Endpoint endpoint{text.substr(0, colon), 0};
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data() + colon + 1, end, endpoint.port);
  in_addr address{};
  if (error != std::errc{} || stop != end || endpoint.port == 0 ||
      inet_pton(AF_INET, endpoint.host.c_str(), &address) != 1)
    throw DecodeError(problem);
  return endpoint;
}

namespace {

transport::Endpoint need_endpoint(const Json& object, const char* name) {
  return parse_endpoint(need_text(object, name), name);
}

const Json& need_section(const Json& object, const char* name) {
  const Json& section = need(object, name);
  if (!section.is_object()) throw DecodeError(std::string(name) + ": expected an object");
  return section;
}

double need_positive(const Json& object, const char* name) {
  const double amount = need_amount(object, name);
  if (amount <= 0) throw DecodeError(std::string(name) + ": expected a number above 0");
  return amount;
}

Seconds need_positive_seconds(const Json& object, const char* name) {
  return Seconds{need_positive(object, name)};
}

double amount_or(const Json& object, const char* name, double otherwise) {
  const Json* found = find(object, name);
  return found == nullptr ? otherwise : as_amount(*found, name);
}

// Absent, or a number above 0.
double positive_or(const Json& object, const char* name, double otherwise) {
  return find(object, name) == nullptr ? otherwise : need_positive(object, name);
}

TeamSettings parse_team(const Json& each) {
  return {need_text(each, "name"), amount_or(each, "cpus", 0), amount_or(each, "cpus_max", 0),
          amount_or(each, "gpus", 0), amount_or(each, "gpus_max", 0)};
}

// Absent in the settings of deployments without gangs.
std::optional<GangTimes> parse_gang_times(const Json& workers) {
  const Seconds assembly{positive_or(workers, "gang_wait_s", 0)};
  const Seconds peer_loss{positive_or(workers, "gang_peer_s", 0)};
  if (assembly == Seconds{0} || peer_loss == Seconds{0}) return std::nullopt;
  return GangTimes{assembly, peer_loss};
}

// A name that is absent has the limit of `otherwise`.
StateLimits state_limits_or(const Json& given, const StateLimits& otherwise) {
  StateLimits out;
  out.rps = positive_or(given, "rps", otherwise.rps);
  out.write_rps = positive_or(given, "write_rps", otherwise.write_rps);
  out.value_kb = positive_or(given, "value_kb", otherwise.value_kb);
  out.txn_ops = static_cast<int>(positive_or(given, "txn_ops", otherwise.txn_ops));
  return out;
}

// `next` holds the limits that the service will have from some unannounced moment on.
StateLimits parse_state_limits(const Json& state) {
  for (const char* name : {"rps", "write_rps", "value_kb", "txn_ops"}) need_positive(state, name);
  const StateLimits present = state_limits_or(state, {});
  if (find(state, "next") == nullptr) return present;
  return lower_of(present, state_limits_or(need_section(state, "next"), present));
}

void parse_limits(const Json& given, Settings& out) {
  const Json& workers = need_section(given, "workers");
  out.heartbeat_interval = need_positive_seconds(workers, "report_s");
  out.worker_lease = need_positive_seconds(workers, "lease_s");
  out.cancel_timeout = need_positive_seconds(workers, "cancel_s");
  out.gang_times = parse_gang_times(workers);
  out.state_limits = parse_state_limits(need_section(given, "state"));
  const Json& cloud = need_section(given, "cloud");
  out.cloud_rps = need_positive(cloud, "rps");
  out.list_lag = need_seconds(cloud, "list_lag_s");
  const Json& machine = need_section(given, "machine_limits");
  out.sockets = need_positive(machine, "sockets");
  for (const char* name : {"core_share", "ram_mb"})
    if (find(machine, name) != nullptr) need_positive(machine, name);
  out.max_clock_offset = Seconds{amount_or(given, "time_bound_ms", 100) / 1000};
}

// What each alone may be and both together can never work with.
void check_together(const Settings& out) {
  // A leader that is cut off has to fall silent early enough for leases to end by then.
  if (out.worker_lease >= out.cancel_timeout)
    throw DecodeError("lease_s: expected less than cancel_s, got " +
                      std::to_string(out.worker_lease.count()));
  if (out.heartbeat_interval >= out.worker_lease)
    throw DecodeError("report_s: expected less than lease_s, got " +
                      std::to_string(out.heartbeat_interval.count()));
  // A final record is two changes: it replaces the job's.
  if (out.state_limits.txn_ops < constants::min_txn_ops)
    throw DecodeError("txn_ops: expected at least " + std::to_string(constants::min_txn_ops));
  const auto least = constants::min_own_sockets + 2 * out.peers.size() + 1;
  if (out.sockets < static_cast<double>(least))
    throw DecodeError("sockets: expected at least " + std::to_string(least) +
                      " for the calls to other services, the siblings and one worker");
}

// Aims of other kinds are not needed here, nor is the list itself.
void parse_objectives(const Json& given, Settings& out) {
  if (find(given, "objectives") == nullptr) return;
  for (const Json& each : need_list(given, "objectives")) {
    if (!each.is_object()) throw DecodeError("objectives: expected objects");
    if (need_text(each, "kind") != "finished") continue;
    out.finish_aims.push_back({need_text(each, "class"), need_positive_seconds(each, "within_s")});
  }
}

}  // namespace

Seconds GangTimes::task_replacement_window() const {
  return constants::gang_replacement_share * assembly_timeout;
}

Settings parse_settings(const std::string& text) {
  const Json root = parse_object(text);
  Settings out;
  out.name = need_text(root, "member");
  out.zone = need_text(root, "site");
  out.listen = need_endpoint(root, "bind");
  out.peer_listen = need_endpoint(root, "peer_bind");
  for (const Json& each : need_list(root, "siblings"))
    out.peers.push_back(
        {need_text(each, "member"), need_text(each, "site"), need_endpoint(each, "peer_addr")});
  const Json& services = need_section(root, "services");
  out.cloud = need_endpoint(services, "cloud");
  out.state = need_endpoint(services, "state");
  const Json& given = need_section(root, "settings");
  for (const Json& each : need_list(given, "zones")) out.zones.push_back(as_text(each, "zones"));
  for (const Json& each : need_list(given, "teams")) out.teams.push_back(parse_team(each));
  parse_limits(given, out);
  check_together(out);
  parse_objectives(given, out);
  return out;
}

}  // namespace poppystile::protocol
