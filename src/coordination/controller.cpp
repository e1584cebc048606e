#include "coordination/controller.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "constants.hpp"

namespace poppystile::coordination {

using protocol::UserPath;
using transport::HttpRequest;
using transport::HttpResponse;
using transport::Respond;

namespace {

HttpResponse cut_off() { return {503, protocol::encode_error("cut off from the state service")}; }

}  // namespace

Node::Node(transport::Runtime& runtime, transport::HttpCaller& http, transport::PeerNet& peers,
           const protocol::Settings& settings, const protocol::Properties& properties,
           std::uint64_t seed)
    : runtime_(runtime),
      peers_(peers),
      settings_(settings),
      incarnation_(seed),
      born_wall_s_(runtime.wall_s()),
      store_(runtime, http, settings),
      directory_(runtime, store_),
      leadership_(runtime, store_, directory_, settings.name, seed),
      journal_(runtime, store_, leadership_, settings),
      cloud_(runtime, http, store_, directory_, leadership_, journal_, settings, properties),
      dispatcher_(runtime, directory_, store_, leadership_, journal_, cloud_, settings, properties),
      users_(runtime, store_, directory_, settings,
             [this](const std::string& job) { return counts(job); }) {}

void Node::start() {
  peers_.on_frame([this](const std::string& frame) { on_heartbeat(frame); });
  directory_.start();
  leadership_.start();
  dispatcher_.start();
  send_heartbeat();
}

TaskCounts Node::counts(const std::string& job) const {
  if (leadership_.leading()) return dispatcher_.counts(job);
  const auto told = advertised_counts_.find(job);
  return told == advertised_counts_.end() ? TaskCounts{} : told->second;
}

// --- siblings ---

void Node::send_heartbeat() {
  runtime_.after(constants::heartbeat_s, [this] { send_heartbeat(); });
  // Keeps the knowledge of the state service fresh on a node that nobody asks anything.
  if (runtime_.now_s() - store_.last_contact_s() > constants::heartbeat_s)
    store_.get(storage::keys::token, Urgency::rest, [](Outcome, auto) {});
  const std::uint64_t redirected_reports = reachability_now_.redirected_reports;
  check_worker_reachability();
  protocol::PeerStatus status;
  status.name = settings_.name;
  status.incarnation = incarnation_;
  status.born_wall_s = born_wall_s_;
  status.token = std::max(directory_.token(), leadership_.token());
  status.leading = leadership_.leading();
  status.sent_wall_s = runtime_.wall_s();
  status.state_wall_s = store_.last_contact_wall_s();
  status.proven_wall_s = directory_.proven_wall_s();
  for (const auto& id : directory_.cancelled()) {
    if (status.cancelled.size() == constants::max_told_cancellations) {
      // Leases then hang on what is proven by the state service alone.
      spdlog::error("more cancelled jobs than a status frame names limit={}",
                    constants::max_told_cancellations);
      status.all_cancelled = false;
      break;
    }
    status.cancelled.push_back(id);
  }
  status.redirected_reports = redirected_reports;
  if (status.leading)
    for (const auto& id : dispatcher_.job_ids(constants::max_told_jobs)) {
      const TaskCounts counts = dispatcher_.counts(id);
      if (counts.done + counts.running > 0)
        status.counts.push_back({id, counts.done, counts.running});
    }
  peers_.broadcast(protocol::encode_peer_status(status));
}

void Node::on_heartbeat(const std::string& frame) {
  auto status = protocol::decode_peer_status(frame);
  if (!status) return spdlog::info("peer frame malformed bytes={}", frame.size());
  const bool known = std::any_of(settings_.siblings.begin(), settings_.siblings.end(),
                                 [&](const auto& each) { return each.name == status->name; });
  if (!known) return spdlog::info("peer frame of a stranger name={}", status->name);
  // True whenever it was said.
  for (const auto& id : status->cancelled) directory_.learn_cancelled(id);
  auto& sibling = siblings_[status->name];
  // Frames held back by a cut arrive late; an older one says nothing else that is new.
  if (status->sent_wall_s < sibling.last.sent_wall_s) return;
  vouch(sibling, *status);
  sibling.last = std::move(*status);
  const auto& last = sibling.last;
  // A frame that waited while we stood still, or in a cut, says nothing about now.
  if (runtime_.wall_s() - last.sent_wall_s < constants::peer_fresh_s)
    reachability_now_.redirected_elsewhere += last.redirected_reports;
  if (last.leading) {
    advertised_counts_.clear();
    for (const auto& each : last.counts) advertised_counts_[each.job] = {each.done, each.running};
  }
  if (!leadership_.leading()) return;
  if (last.token > leadership_.token())
    return leadership_.step_down("a sibling knows a higher token");
  // Our grant has run out unless the whole state service is down; a sibling it answers proves
  // that it is not.
  const double silent = runtime_.now_s() - leadership_.confirmed_s();
  const double grant = constants::grant_ttl_ms / 1000.0 + constants::lease_margin_s;
  const double reached_ago = runtime_.wall_s() - last.state_wall_s;
  if (silent > grant && reached_ago + grant < silent - settings_.clock_bound_s)
    leadership_.step_down("a sibling reaches the state service");
}

// What a frame proves about cancellations, beyond those that it names.
void Node::vouch(Sibling& sibling, const protocol::PeerStatus& status) {
  // A list that did not fit counts as not told.
  if (!status.all_cancelled) return;
  if (status.proven_wall_s > 0)
    siblings_proven_s_ = std::max(siblings_proven_s_, steady_s(status.proven_wall_s));
  // A process that has begun again knows nothing of what its former life told users. It answers for
  // that once it has read the directory, which names whatever was committed by then, or once others
  // have shown us the directory as it was after that life had ended.
  if (status.incarnation != sibling.incarnation && status.proven_wall_s == 0 &&
      std::max(directory_.proven_s(), siblings_proven_s_) <=
          steady_s(status.born_wall_s) + 4 * settings_.clock_bound_s)
    return;
  sibling.incarnation = status.incarnation;
  sibling.vouched_s = std::max(sibling.vouched_s, steady_s(status.sent_wall_s));
}

// A leader that holds its grant while workers do not reach it serves nobody, and their leases run
// out: it leaves the key to a sibling that they do reach. Siblings that hear us contradict by
// redirecting nothing; when none can be heard, silence of all machines has to do.
void Node::check_worker_reachability() {
  const double now = runtime_.now_s();
  reachability_now_.at_s = now;
  reachability_.push_back(std::exchange(reachability_now_, {}));
  // After a pause of our own, such as a stop of the process, counting begins again.
  const bool paused =
      reachability_.size() > 1 &&
      now - reachability_[reachability_.size() - 2].at_s > 2 * constants::heartbeat_s;
  const bool heard_any = !reachability_.empty() && reachability_.back().heard > 0;
  if (paused || !leadership_.leading()) reachability_.clear();
  silent_heartbeats_ = heard_any || reachability_.empty() ? 0 : silent_heartbeats_ + 1;
  // Workers that cannot reach us wait for 4 s, are sent back to us by a sibling, and wait again: by
  // then a short lease has ended. So we do not wait for siblings to tell of them when everybody
  // falls silent at once. In an outage of the state service nobody could take over.
  const double quiet_s = silent_heartbeats_ * constants::heartbeat_s;
  if (quiet_s > constants::report_jitter * settings_.report_s + constants::lease_margin_s &&
      dispatcher_.live_machines() >= constants::reach_min_machines && leadership_.grant_holds()) {
    silent_heartbeats_ = 0;
    reachability_.clear();
    return leadership_.resign("all workers fell silent at once", constants::stand_aside_s);
  }
  bool full = false;
  while (!reachability_.empty() && now - reachability_.front().at_s > constants::reach_window_s) {
    reachability_.pop_front();
    full = true;
  }
  // Only a full window counts.
  if (!full || reachability_.empty() || settings_.siblings.empty() || !dispatcher_.ready()) return;
  WorkerReachability sum;
  for (const auto& each : reachability_) {
    sum.heard += each.heard;
    sum.redirected_elsewhere += each.redirected_elsewhere;
  }
  const bool siblings_heard =
      std::any_of(siblings_.begin(), siblings_.end(), [&](const auto& each) {
        return runtime_.wall_s() - each.second.last.sent_wall_s < constants::peer_fresh_s;
      });
  const bool away = sum.redirected_elsewhere >= constants::reach_min_machines &&
                    sum.redirected_elsewhere > sum.heard * constants::resign_ratio;
  const bool silence = !siblings_heard && sum.heard == 0 &&
                       dispatcher_.live_machines() >= constants::reach_min_machines;
  if (!away && !silence) return;
  reachability_.clear();
  leadership_.resign(away ? "workers reach our siblings and not us" : "no worker reaches us",
                     constants::stand_aside_s);
}

double Node::steady_s(double wall_s) const {
  const double age = runtime_.wall_s() - wall_s;
  return runtime_.now_s() - std::max(0.0, age) - 2 * settings_.clock_bound_s;
}

// Users are told of a cancellation only by a node whose directory shows it. So we know all that
// they were told of by some time when our own directory, or a sibling's that was told to us, holds
// whatever was committed by then; or when every sibling has vouched for itself up to then. The
// latter keeps leases alive through an outage, in which nothing can be proven.
double Node::cancellations_known_s() const {
  double vouched_by_all = runtime_.now_s();
  for (const auto& each : settings_.siblings) {
    const auto found = siblings_.find(each.name);
    vouched_by_all =
        std::min(vouched_by_all, found == siblings_.end() ? 0 : found->second.vouched_s);
  }
  return std::max({directory_.proven_s(), siblings_proven_s_, vouched_by_all});
}

// The one invariant behind `cancel_s`, see docs/design.md: a lease that we keep alive ends within
// `cancel_s` of any cancellation that we do not know. An answer sent now keeps it alive for a
// lease.
double Node::answer_until_s() const {
  const double budget = settings_.cancel_s - settings_.lease_s * (1 + constants::clock_drift) -
                        3 * constants::lease_margin_s;
  // Without its picture a leader keeps leases alive but stops nothing, not even what was cancelled
  // before its election and not stopped by its predecessor any more.
  if (!dispatcher_.ready()) return leadership_.won_s() + budget * constants::unready_answer_share;
  return cancellations_known_s() + budget;
}

// --- requests ---

bool Node::takes_requests() const {
  if (!directory_.loaded()) return false;
  if (runtime_.now_s() - store_.last_contact_s() < constants::contact_stale_s) return true;
  // In an outage all nodes are alike, and being marked unhealthy would outlast it. A node that
  // alone is cut off should be passed over.
  return std::none_of(siblings_.begin(), siblings_.end(), [&](const auto& each) {
    return runtime_.wall_s() - each.second.last.state_wall_s < constants::contact_stale_s;
  });
}

void Node::report(const std::string& body, const Respond& respond) {
  protocol::Report report;
  try {
    report = protocol::parse_report(body);
  } catch (const protocol::DecodeError& problem) {
    spdlog::info("report malformed why=\"{}\"", problem.what());
    return respond({400, protocol::encode_error(problem.what())});
  }
  if (leadership_.leading()) {
    ++reachability_now_.heard;
    if (runtime_.now_s() > answer_until_s()) return respond(cut_off());
    // Answers wait for the journal, and the process may stand still: what counts is whether we may
    // keep the lease alive when the answer is sent.
    return dispatcher_.report(report, [this, respond](const HttpResponse& response) {
      const bool late = response.status == 200 && runtime_.now_s() > answer_until_s();
      respond(late ? cut_off() : response);
    });
  }
  ++reachability_now_.redirected_reports;
  leadership_.run_again();
  const auto& leader = directory_.leader();
  const bool elsewhere = leader && leader->record.name != settings_.name;
  respond({421, protocol::encode_redirect(elsewhere ? leader->record.name : "")});
}

bool Node::is_vital(const HttpRequest& request) {
  return protocol::parse_path(request.target).what == UserPath::What::report;
}

void Node::handle(const HttpRequest& request, Respond respond) {
  using What = UserPath::What;
  const UserPath path = protocol::parse_path(request.target);
  if (path.what == What::none) return respond({404, protocol::encode_error("no such path")});
  const bool reading = path.what == What::show || path.what == What::up;
  if (request.method != (reading ? "GET" : "POST"))
    return respond({405, protocol::encode_error("method not allowed")});
  switch (path.what) {
    case What::submit:
      return users_.submit(request.body, std::move(respond));
    case What::show:
      return users_.show(path.id, std::move(respond));
    case What::cancel:
      return users_.cancel(path.id, respond);
    case What::report:
      return report(request.body, respond);
    default:
      return respond({takes_requests() ? 200 : 503, "{}"});
  }
}

}  // namespace poppystile::coordination
