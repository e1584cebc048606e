#include "coordination/controller.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <optional>
#include <utility>

#include "constants.hpp"
#include "protocol/route.hpp"
#include "protocol/user_responses.hpp"

namespace poppystile::coordination {

using protocol::Route;
using transport::HttpRequest;
using transport::HttpResponse;
using transport::Respond;

namespace {

HttpResponse cut_off_response() {
  return {503, protocol::encode_error("cut off from the state service")};
}

}  // namespace

Controller::Controller(transport::Runtime& runtime, transport::HttpCaller& http,
                       transport::PeerTransport& peers, const protocol::Settings& settings,
                       const protocol::Properties& properties, std::uint64_t seed)
    : runtime_(runtime),
      peer_transport_(peers),
      settings_(settings),
      incarnation_(seed),
      started_at_(runtime.wall_now()),
      key_value_client_(runtime, http, settings),
      shared_state_(runtime, key_value_client_),
      election_(runtime, key_value_client_, shared_state_, settings.name, seed),
      journal_(runtime, key_value_client_, election_, settings),
      fleet_(runtime, http, key_value_client_, shared_state_, election_, journal_, settings,
             properties),
      leader_(runtime, shared_state_, key_value_client_, election_, journal_, fleet_, settings,
              properties),
      job_state_announcer_(runtime, peers, settings, shared_state_, incarnation_),
      job_api_(runtime, key_value_client_, shared_state_, job_state_announcer_, settings,
               [this](const std::string& job) { return task_counts(job); }),
      peer_monitor_(runtime, settings),
      cancellations_(runtime, settings, shared_state_),
      worker_reachability_(runtime, settings) {}

void Controller::start() {
  peer_transport_.set_frame_handler([this](const std::string& frame) { on_peer_frame(frame); });
  shared_state_.start();
  election_.start();
  leader_.start();
  broadcast_status();
}

TaskCounts Controller::task_counts(const std::string& job) const {
  if (election_.is_leader()) return leader_.counts(job);
  const auto advertised = peer_monitor_.advertised_counts(job);
  return advertised ? TaskCounts{advertised->done, advertised->running} : TaskCounts{};
}

// --- peers ---

void Controller::broadcast_status() {
  runtime_.after(constants::peer_heartbeat_interval, [this] { broadcast_status(); });
  refresh_state_contact();
  const std::uint64_t redirected_heartbeats = worker_reachability_.redirected_in_interval();
  check_worker_reachability();
  peer_transport_.broadcast(protocol::encode_peer_status(make_status(redirected_heartbeats)));
}

// Reads a key if the state service has answered no recent call, so that an idle controller also
// detects whether it can reach the service.
void Controller::refresh_state_contact() {
  if (runtime_.now() - key_value_client_.last_contact() <= constants::peer_heartbeat_interval)
    return;
  key_value_client_.get(storage::keys::token, RequestPriority::background, [](CallStatus, auto) {});
}

void Controller::check_worker_reachability() {
  std::optional<LeaderObservation> observation;
  if (election_.is_leader()) {
    observation.emplace();
    observation->is_ready = leader_.ready();
    observation->has_valid_lease = election_.has_valid_lease();
    observation->has_recent_peer_status = peer_monitor_.has_recent_peer_status();
    observation->responsive_machines = leader_.responsive_machine_count();
  }
  if (const auto reason = worker_reachability_.end_interval(observation))
    election_.resign(std::string(describe(*reason)), constants::resign_cooldown);
}

protocol::PeerStatus Controller::make_status(std::uint64_t redirected_heartbeats) const {
  protocol::PeerStatus status;
  status.name = settings_.name;
  status.incarnation = incarnation_;
  status.started_at = started_at_;
  status.token = std::max(shared_state_.token(), election_.token());
  status.is_leader = election_.is_leader();
  status.sent_at = runtime_.wall_now();
  status.state_contact_at = key_value_client_.last_contact_wall();
  status.redirected_heartbeats = redirected_heartbeats;
  cancellations_.advertise(status);
  if (!status.is_leader) return status;
  for (const auto& id : leader_.job_ids(constants::max_advertised_jobs)) {
    const TaskCounts counts = leader_.counts(id);
    if (counts.done + counts.running > 0)
      status.counts.push_back({id, counts.done, counts.running});
  }
  return status;
}

void Controller::on_peer_frame(const std::string& frame) {
  if (job_state_announcer_.handle_frame(frame)) return;
  if (auto status = peer_monitor_.decode(frame)) on_peer_status(std::move(*status));
}

void Controller::on_peer_status(protocol::PeerStatus status) {
  cancellations_.apply(status);
  // A partition can delay frames; of a delayed frame only the cancellations still apply.
  if (peer_monitor_.is_superseded(status)) return;
  cancellations_.confirm(status);
  if (peer_monitor_.is_recent(status))
    worker_reachability_.count_redirected_by_peer(status.redirected_heartbeats);
  const protocol::PeerStatus& latest = peer_monitor_.record(std::move(status));
  if (election_.is_leader()) step_down_if_superseded(latest);
}

void Controller::step_down_if_superseded(const protocol::PeerStatus& status) {
  if (status.token > election_.token())
    return election_.step_down("a peer reported a higher fencing token");
  // A leader lease that was not renewed has expired, unless the whole state service has been down.
  // A peer that received a response more than a lease duration after the last renewal shows that
  // the service is up.
  const Seconds since_renewal = runtime_.now() - election_.lease_confirmed_at();
  const Seconds lease_duration = constants::leader_lease_ttl + constants::lease_margin;
  const Seconds since_peer_contact = runtime_.wall_now() - status.state_contact_at;
  if (since_renewal > lease_duration &&
      since_peer_contact + lease_duration < since_renewal - settings_.max_clock_offset)
    election_.step_down(
        "no renewal of the leader lease, although a peer reaches the state service");
}

// --- requests ---

// Returns the steady time until which this leader may respond to workers; see CancellationTracker.
SteadyTime Controller::response_deadline() const {
  if (!leader_.ready())
    return cancellations_.response_deadline_before_replay(election_.won_campaign_started_at());
  return cancellations_.response_deadline();
}

// Whether the health check reports that users can send requests to this controller. It fails until
// the shared state is loaded, and while this controller has lost the state service but a peer
// reaches it. In an outage of the service no controller is a better choice, and one marked as
// unhealthy would stay so beyond the end of the outage.
bool Controller::accepts_requests() const {
  if (!shared_state_.loaded()) return false;
  if (runtime_.now() - key_value_client_.last_contact() < constants::state_contact_stale_after)
    return true;
  return !peer_monitor_.any_peer_reaches_state_service();
}

void Controller::handle_heartbeat(const std::string& body, const Respond& respond) {
  protocol::Heartbeat heartbeat;
  try {
    heartbeat = protocol::parse_heartbeat(body);
  } catch (const protocol::DecodeError& problem) {
    spdlog::info("heartbeat malformed why=\"{}\"", problem.what());
    return respond({400, protocol::encode_error(problem.what())});
  }
  if (!election_.is_leader()) return redirect_heartbeat(respond);
  worker_reachability_.count_direct();
  if (runtime_.now() > response_deadline()) return respond(cut_off_response());
  // The time limit is checked again on sending, since the response may wait for the journal and the
  // process may have been paused: a response past the limit must not extend the worker's lease.
  leader_.handle_heartbeat(heartbeat, [this, respond](const HttpResponse& response) {
    const bool limit_passed = response.status == 200 && runtime_.now() > response_deadline();
    respond(limit_passed ? cut_off_response() : response);
  });
}

// Ends the cooldown after a resignation, since the heartbeat proves that workers reach this
// controller.
void Controller::redirect_heartbeat(const Respond& respond) {
  worker_reachability_.count_redirected();
  election_.end_cooldown();
  const auto& leader = shared_state_.leader();
  const bool is_other_controller = leader && leader->record.name != settings_.name;
  respond({421, protocol::encode_redirect(is_other_controller ? leader->record.name : "")});
}

bool Controller::is_heartbeat(const HttpRequest& request) {
  return protocol::parse_route(request.target).kind == Route::Kind::heartbeat;
}

void Controller::handle(const HttpRequest& request, Respond respond) {
  using Kind = Route::Kind;
  const Route route = protocol::parse_route(request.target);
  if (route.kind == Kind::none) return respond({404, protocol::encode_error("no such path")});
  const bool is_read = route.kind == Kind::show || route.kind == Kind::health_check;
  if (request.method != (is_read ? "GET" : "POST"))
    return respond({405, protocol::encode_error("method not allowed")});
  switch (route.kind) {
    case Kind::submit:
      return job_api_.submit(request.body, std::move(respond));
    case Kind::show:
      return job_api_.show(route.id, std::move(respond));
    case Kind::cancel:
      return job_api_.cancel(route.id, respond);
    case Kind::heartbeat:
      return handle_heartbeat(request.body, respond);
    default:
      return respond({accepts_requests() ? 200 : 503, "{}"});
  }
}

}  // namespace poppystile::coordination
