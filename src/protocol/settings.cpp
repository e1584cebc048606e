#include "protocol/settings.hpp"

#include <arpa/inet.h>

#include <charconv>

#include "constants.hpp"
#include "protocol/json.hpp"

namespace poppystile::protocol {

transport::Endpoint parse_endpoint(const std::string& text, const char* name) {
  const auto colon = text.rfind(':');
  const auto malformed = [&] {
    return DecodeError::expected(name, "IPv4:PORT, got \"" + text + "\"");
  };
  if (colon == std::string::npos) throw malformed();
  transport::Endpoint endpoint{text.substr(0, colon), 0};
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data() + colon + 1, end, endpoint.port);
  in_addr address{};
  if (error != std::errc{} || stop != end || endpoint.port == 0 ||
      inet_pton(AF_INET, endpoint.host.c_str(), &address) != 1)
    throw malformed();
  return endpoint;
}

namespace {

// Fields that are used in several places or named in an error message.
constexpr const char* name_field = "member";
constexpr const char* zone_field = "site";
constexpr const char* heartbeat_interval_field = "report_s";
constexpr const char* lease_field = "lease_s";
constexpr const char* rps_field = "rps";
constexpr const char* write_rps_field = "write_rps";
constexpr const char* value_size_field = "value_kb";
constexpr const char* max_changes_field = "txn_ops";
constexpr const char* next_limits_field = "next";
constexpr const char* sockets_field = "sockets";
constexpr const char* objectives_field = "objectives";

// Milliseconds; the bound on the difference between two controllers' clocks if the settings give
// none.
constexpr double default_clock_offset_ms = 100;

transport::Endpoint need_endpoint(const Json& object, const char* name) {
  return parse_endpoint(need_text(object, name), name);
}

const Json& need_section(const Json& object, const char* name) {
  const Json& section = need(object, name);
  if (!section.is_object()) throw DecodeError::expected(name, "an object");
  return section;
}

double need_positive(const Json& object, const char* name) {
  const double amount = need_amount(object, name);
  if (amount <= 0) throw DecodeError::expected(name, "a number above 0");
  return amount;
}

Seconds need_positive_seconds(const Json& object, const char* name) {
  return Seconds{need_positive(object, name)};
}

double amount_or(const Json& object, const char* name, double fallback) {
  const Json* found = find(object, name);
  return found == nullptr ? fallback : as_amount(*found, name);
}

// The field's number, which must be above 0, or `fallback` if the field is absent.
double positive_or(const Json& object, const char* name, double fallback) {
  return find(object, name) == nullptr ? fallback : need_positive(object, name);
}

TeamSettings parse_team(const Json& item) {
  return {need_text(item, "name"), amount_or(item, "cpus", 0), amount_or(item, "cpus_max", 0),
          amount_or(item, "gpus", 0), amount_or(item, "gpus_max", 0)};
}

// Returns nullopt if a timeout is absent, as in deployments without gangs.
std::optional<GangTimes> parse_gang_times(const Json& workers) {
  const Seconds assembly{positive_or(workers, "gang_wait_s", 0)};
  const Seconds peer_loss{positive_or(workers, "gang_peer_s", 0)};
  if (assembly == Seconds{0} || peer_loss == Seconds{0}) return std::nullopt;
  return GangTimes{assembly, peer_loss};
}

// A limit that is absent in `given` is taken from `fallback`.
StateLimits state_limits_or(const Json& given, const StateLimits& fallback) {
  StateLimits out;
  out.rps = positive_or(given, rps_field, fallback.rps);
  out.write_rps = positive_or(given, write_rps_field, fallback.write_rps);
  out.value_kb = positive_or(given, value_size_field, fallback.value_kb);
  out.txn_ops = static_cast<int>(positive_or(given, max_changes_field, fallback.txn_ops));
  return out;
}

// The section `next` has limits to which the state service will change at an unannounced time.
StateLimits parse_state_limits(const Json& state) {
  for (const char* name : {rps_field, write_rps_field, value_size_field, max_changes_field})
    need_positive(state, name);
  const StateLimits present = state_limits_or(state, {});
  if (find(state, next_limits_field) == nullptr) return present;
  return lower_of(present, state_limits_or(need_section(state, next_limits_field), present));
}

void parse_worker_settings(const Json& workers, Settings& out) {
  out.heartbeat_interval = need_positive_seconds(workers, heartbeat_interval_field);
  out.worker_lease = need_positive_seconds(workers, lease_field);
  out.cancel_timeout = need_positive_seconds(workers, "cancel_s");
  out.gang_times = parse_gang_times(workers);
}

void parse_cloud_settings(const Json& cloud, Settings& out) {
  out.cloud_rps = need_positive(cloud, rps_field);
  out.list_lag = need_seconds(cloud, "list_lag_s");
}

void parse_machine_limits(const Json& limits, Settings& out) {
  out.sockets = need_positive(limits, sockets_field);
  // These fields are optional and not used, but must be valid if present.
  for (const char* name : {"core_share", "ram_mb"})
    if (find(limits, name) != nullptr) need_positive(limits, name);
}

void parse_limits(const Json& given, Settings& out) {
  parse_worker_settings(need_section(given, "workers"), out);
  out.state_limits = parse_state_limits(need_section(given, "state"));
  parse_cloud_settings(need_section(given, "cloud"), out);
  parse_machine_limits(need_section(given, "machine_limits"), out);
  out.max_clock_offset = Seconds{amount_or(given, "time_bound_ms", default_clock_offset_ms) / 1000};
}

// Throws DecodeError for values that are valid alone but contradict one another.
void check_consistency(const Settings& out) {
  // A leader that cannot reach the state service must stop responding to workers early enough that
  // their leases expire before the cancel timeout ends.
  if (out.worker_lease >= out.cancel_timeout)
    throw DecodeError::expected(lease_field, "less than cancel_s (both in seconds), got " +
                                                 std::to_string(out.worker_lease.count()));
  if (out.heartbeat_interval >= out.worker_lease)
    throw DecodeError::expected(heartbeat_interval_field,
                                "less than lease_s (both in seconds), got " +
                                    std::to_string(out.heartbeat_interval.count()));
  // Writing a job's final record takes two changes, since it also deletes the job's record.
  if (out.state_limits.txn_ops < constants::min_txn_ops)
    throw DecodeError::expected(max_changes_field,
                                "at least " + std::to_string(constants::min_txn_ops));
  const auto min_sockets = constants::min_own_sockets + 2 * out.peers.size() + 1;
  if (out.sockets < static_cast<double>(min_sockets))
    throw DecodeError::expected(sockets_field,
                                "at least " + std::to_string(min_sockets) +
                                    " sockets for calls to other services, connections to the "
                                    "siblings and one worker");
}

// The list is optional; objectives of other kinds are ignored.
void parse_objectives(const Json& given, Settings& out) {
  if (find(given, objectives_field) == nullptr) return;
  for (const Json& item : need_list(given, objectives_field)) {
    if (!item.is_object()) throw DecodeError::expected(objectives_field, "a list of objects");
    if (need_text(item, "kind") != "finished") continue;
    out.finish_objectives.push_back(
        {need_text(item, "class"), need_positive_seconds(item, "within_s")});
  }
}

void parse_addresses(const Json& root, Settings& out) {
  out.name = need_text(root, name_field);
  out.zone = need_text(root, zone_field);
  out.listen = need_endpoint(root, "bind");
  out.peer_listen = need_endpoint(root, "peer_bind");
  for (const Json& item : need_list(root, "siblings"))
    out.peers.push_back({need_text(item, name_field), need_text(item, zone_field),
                         need_endpoint(item, "peer_addr")});
  const Json& services = need_section(root, "services");
  out.cloud = need_endpoint(services, "cloud");
  out.state = need_endpoint(services, "state");
}

}  // namespace

Seconds GangTimes::task_replacement_window() const {
  return constants::gang_replacement_share * assembly_timeout;
}

Settings parse_settings(const std::string& text) {
  const Json root = parse_object(text);
  Settings out;
  parse_addresses(root, out);
  const Json& given = need_section(root, "settings");
  out.zones = need_texts(given, "zones");
  for (const Json& item : need_list(given, "teams")) out.teams.push_back(parse_team(item));
  parse_limits(given, out);
  check_consistency(out);
  parse_objectives(given, out);
  return out;
}

}  // namespace poppystile::protocol
