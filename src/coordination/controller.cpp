#include "coordination/controller.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "constants.hpp"

namespace poppystile::coordination {

using protocol::Route;
using transport::HttpRequest;
using transport::HttpResponse;
using transport::Respond;

namespace {

HttpResponse cut_off() { return {503, protocol::encode_error("cut off from the state service")}; }

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
      job_api_(runtime, key_value_client_, shared_state_, settings,
               [this](const std::string& job) { return counts(job); }) {}

void Controller::start() {
  peer_transport_.on_frame([this](const std::string& frame) { on_peer_status(frame); });
  shared_state_.start();
  election_.start();
  leader_.start();
  broadcast_status();
}

TaskCounts Controller::counts(const std::string& job) const {
  if (election_.is_leader()) return leader_.counts(job);
  const auto told = advertised_counts_.find(job);
  return told == advertised_counts_.end() ? TaskCounts{} : told->second;
}

// --- siblings ---

void Controller::broadcast_status() {
  runtime_.after(constants::peer_heartbeat_interval, [this] { broadcast_status(); });
  // Keeps the knowledge of the state service fresh on a node that nobody asks anything.
  if (runtime_.now() - key_value_client_.last_contact() > constants::peer_heartbeat_interval)
    key_value_client_.get(storage::keys::token, RequestPriority::background,
                          [](CallStatus, auto) {});
  const std::uint64_t redirected_heartbeats = reachability_now_.redirected_heartbeats;
  check_worker_reachability();
  protocol::PeerStatus status;
  status.name = settings_.name;
  status.incarnation = incarnation_;
  status.started_at = started_at_;
  status.token = std::max(shared_state_.token(), election_.token());
  status.is_leader = election_.is_leader();
  status.sent_at = runtime_.wall_now();
  status.state_contact_at = key_value_client_.last_contact_wall();
  status.fresh_as_of_wall = shared_state_.fresh_as_of_wall();
  for (const auto& id : shared_state_.cancelled()) {
    if (status.cancelled.size() == constants::max_advertised_cancellations) {
      // Leases then hang on what is proven by the state service alone.
      spdlog::error("more cancelled jobs than a status frame names limit={}",
                    constants::max_advertised_cancellations);
      status.all_cancelled = false;
      break;
    }
    status.cancelled.push_back(id);
  }
  status.redirected_heartbeats = redirected_heartbeats;
  if (status.is_leader)
    for (const auto& id : leader_.job_ids(constants::max_advertised_jobs)) {
      const TaskCounts counts = leader_.counts(id);
      if (counts.done + counts.running > 0)
        status.counts.push_back({id, counts.done, counts.running});
    }
  peer_transport_.broadcast(protocol::encode_peer_status(status));
}

void Controller::on_peer_status(const std::string& frame) {
  auto status = protocol::decode_peer_status(frame);
  if (!status) return spdlog::info("peer frame malformed bytes={}", frame.size());
  const bool known = std::any_of(settings_.peers.begin(), settings_.peers.end(),
                                 [&](const auto& each) { return each.name == status->name; });
  if (!known) return spdlog::info("peer frame of a stranger name={}", status->name);
  // True whenever it was said.
  for (const auto& id : status->cancelled) shared_state_.apply_cancellation(id);
  auto& peer = peer_states_[status->name];
  // Frames held back by a cut arrive late; an older one says nothing else that is new.
  if (status->sent_at < peer.last.sent_at) return;
  confirm_cancellations_known(peer, *status);
  peer.last = std::move(*status);
  const auto& last = peer.last;
  // A frame that waited while we stood still, or in a cut, says nothing about now.
  if (runtime_.wall_now() - last.sent_at < constants::max_peer_status_age)
    reachability_now_.redirected_elsewhere += last.redirected_heartbeats;
  if (last.is_leader) {
    advertised_counts_.clear();
    for (const auto& each : last.counts) advertised_counts_[each.job] = {each.done, each.running};
  }
  if (!election_.is_leader()) return;
  if (last.token > election_.token()) return election_.step_down("a sibling knows a higher token");
  // Our grant has run out unless the whole state service is down; a sibling it answers proves
  // that it is not.
  const Seconds silent = runtime_.now() - election_.lease_confirmed_at();
  const Seconds grant = constants::leader_lease_ttl + constants::lease_margin;
  const Seconds reached_ago = runtime_.wall_now() - last.state_contact_at;
  if (silent > grant && reached_ago + grant < silent - settings_.max_clock_offset)
    election_.step_down("a sibling reaches the state service");
}

// What a frame proves about cancellations, beyond those that it names.
void Controller::confirm_cancellations_known(Peer& peer, const protocol::PeerStatus& status) {
  // A list that did not fit counts as not told.
  if (!status.all_cancelled) return;
  if (status.fresh_as_of_wall != WallTime{})
    peers_fresh_as_of_ = std::max(peers_fresh_as_of_, to_steady(status.fresh_as_of_wall));
  // A process that has begun again knows nothing of what its former life told users. It answers for
  // that once it has read the directory, which names whatever was committed by then, or once others
  // have shown us the directory as it was after that life had ended.
  if (status.incarnation != peer.incarnation && status.fresh_as_of_wall == WallTime{} &&
      std::max(shared_state_.fresh_as_of(), peers_fresh_as_of_) <=
          to_steady(status.started_at) + 4 * settings_.max_clock_offset)
    return;
  peer.incarnation = status.incarnation;
  peer.confirmed_until = std::max(peer.confirmed_until, to_steady(status.sent_at));
}

// A leader that holds its grant while workers do not reach it serves nobody, and their leases run
// out: it leaves the key to a sibling that they do reach. Siblings that hear us contradict by
// redirecting nothing; when none can be heard, silence of all machines has to do.
void Controller::check_worker_reachability() {
  const SteadyTime now = runtime_.now();
  reachability_now_.at = now;
  reachability_.push_back(std::exchange(reachability_now_, {}));
  // After a pause of our own, such as a stop of the process, counting begins again.
  const bool paused = reachability_.size() > 1 && now - reachability_[reachability_.size() - 2].at >
                                                      2 * constants::peer_heartbeat_interval;
  const bool heard_any = !reachability_.empty() && reachability_.back().direct_reports > 0;
  if (paused || !election_.is_leader()) reachability_.clear();
  silent_heartbeats_ = heard_any || reachability_.empty() ? 0 : silent_heartbeats_ + 1;
  // Workers that cannot reach us wait for 4 s, are sent back to us by a sibling, and wait again: by
  // then a short lease has ended. So we do not wait for siblings to tell of them when everybody
  // falls silent at once. In an outage of the state service nobody could take over.
  const Seconds silence = silent_heartbeats_ * constants::peer_heartbeat_interval;
  if (silence >
          constants::heartbeat_jitter * settings_.heartbeat_interval + constants::lease_margin &&
      leader_.responsive_machine_count() >= constants::reachability_min_machines &&
      election_.lease_holds()) {
    silent_heartbeats_ = 0;
    reachability_.clear();
    return election_.resign("all workers fell silent at once", constants::resign_cooldown);
  }
  bool full = false;
  while (!reachability_.empty() &&
         now - reachability_.front().at > constants::reachability_window) {
    reachability_.pop_front();
    full = true;
  }
  // Only a full window counts.
  if (!full || reachability_.empty() || settings_.peers.empty() || !leader_.ready()) return;
  WorkerReachability sum;
  for (const auto& each : reachability_) {
    sum.direct_reports += each.direct_reports;
    sum.redirected_elsewhere += each.redirected_elsewhere;
  }
  const bool peers_are_heard =
      std::any_of(peer_states_.begin(), peer_states_.end(), [&](const auto& each) {
        return runtime_.wall_now() - each.second.last.sent_at < constants::max_peer_status_age;
      });
  const bool away = sum.redirected_elsewhere >= constants::reachability_min_machines &&
                    sum.redirected_elsewhere > sum.direct_reports * constants::resign_ratio;
  const bool nobody_reports =
      !peers_are_heard && sum.direct_reports == 0 &&
      leader_.responsive_machine_count() >= constants::reachability_min_machines;
  if (!away && !nobody_reports) return;
  reachability_.clear();
  election_.resign(away ? "workers reach our siblings and not us" : "no worker reaches us",
                   constants::resign_cooldown);
}

SteadyTime Controller::to_steady(WallTime time) const {
  const Seconds age = runtime_.wall_now() - time;
  return runtime_.now() - std::max(Seconds{0}, age) - 2 * settings_.max_clock_offset;
}

// Users are told of a cancellation only by a node whose directory shows it. So we know all that
// they were told of by some time when our own directory, or a sibling's that was told to us, holds
// whatever was committed by then; or when every sibling has vouched for itself up to then. The
// latter keeps leases alive through an outage, in which nothing can be proven.
SteadyTime Controller::cancellations_known_until() const {
  SteadyTime confirmed_by_all = runtime_.now();
  for (const auto& each : settings_.peers) {
    const auto found = peer_states_.find(each.name);
    confirmed_by_all =
        std::min(confirmed_by_all,
                 found == peer_states_.end() ? SteadyTime{} : found->second.confirmed_until);
  }
  return std::max({shared_state_.fresh_as_of(), peers_fresh_as_of_, confirmed_by_all});
}

// The one invariant behind `cancel_s`, see docs/design.md: a lease that we keep alive ends within
// `cancel_s` of any cancellation that we do not know. An answer sent now keeps it alive for a
// lease.
SteadyTime Controller::may_respond_until() const {
  const Seconds budget = settings_.cancel_timeout -
                         settings_.worker_lease * (1 + constants::clock_drift) -
                         3 * constants::lease_margin;
  // Without its picture a leader keeps leases alive but stops nothing, not even what was cancelled
  // before its election and not stopped by its predecessor any more.
  if (!leader_.ready()) return election_.elected_at() + budget * constants::unready_response_share;
  return cancellations_known_until() + budget;
}

// --- requests ---

bool Controller::takes_requests() const {
  if (!shared_state_.loaded()) return false;
  if (runtime_.now() - key_value_client_.last_contact() < constants::state_contact_stale_after)
    return true;
  // In an outage all nodes are alike, and being marked unhealthy would outlast it. A node that
  // alone is cut off should be passed over.
  return std::none_of(peer_states_.begin(), peer_states_.end(), [&](const auto& each) {
    return runtime_.wall_now() - each.second.last.state_contact_at <
           constants::state_contact_stale_after;
  });
}

void Controller::handle_heartbeat(const std::string& body, const Respond& respond) {
  protocol::Heartbeat heartbeat;
  try {
    heartbeat = protocol::parse_heartbeat(body);
  } catch (const protocol::DecodeError& problem) {
    spdlog::info("report malformed why=\"{}\"", problem.what());
    return respond({400, protocol::encode_error(problem.what())});
  }
  if (election_.is_leader()) {
    ++reachability_now_.direct_reports;
    if (runtime_.now() > may_respond_until()) return respond(cut_off());
    // Answers wait for the journal, and the process may stand still: what counts is whether we may
    // keep the lease alive when the answer is sent.
    return leader_.handle_heartbeat(heartbeat, [this, respond](const HttpResponse& response) {
      const bool late = response.status == 200 && runtime_.now() > may_respond_until();
      respond(late ? cut_off() : response);
    });
  }
  ++reachability_now_.redirected_heartbeats;
  election_.end_cooldown();
  const auto& leader = shared_state_.leader();
  const bool elsewhere = leader && leader->record.name != settings_.name;
  respond({421, protocol::encode_redirect(elsewhere ? leader->record.name : "")});
}

bool Controller::is_vital(const HttpRequest& request) {
  return protocol::parse_route(request.target).what == Route::What::heartbeat;
}

void Controller::handle(const HttpRequest& request, Respond respond) {
  using What = Route::What;
  const Route path = protocol::parse_route(request.target);
  if (path.what == What::none) return respond({404, protocol::encode_error("no such path")});
  const bool reading = path.what == What::show || path.what == What::up;
  if (request.method != (reading ? "GET" : "POST"))
    return respond({405, protocol::encode_error("method not allowed")});
  switch (path.what) {
    case What::submit:
      return job_api_.submit(request.body, std::move(respond));
    case What::show:
      return job_api_.show(path.id, std::move(respond));
    case What::cancel:
      return job_api_.cancel(path.id, respond);
    case What::heartbeat:
      return handle_heartbeat(request.body, respond);
    default:
      return respond({takes_requests() ? 200 : 503, "{}"});
  }
}

}  // namespace poppystile::coordination
