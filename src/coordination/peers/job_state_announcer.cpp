#include "coordination/peers/job_state_announcer.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "constants.hpp"

namespace poppystile::coordination {

using protocol::AnnouncedState;
using protocol::JobState;
using protocol::JobStateMessage;

void JobStateAnnouncer::announce(const std::string& job, Action respond) {
  const Key key{job, state_of(job)};
  const bool is_acceptance = key.second == AnnouncedState::accepted;
  const SteadyTime known_since =
      is_acceptance ? shared_state_.known_since(job) : shared_state_.terminal_since(job);
  const SteadyTime end_at = known_since + constants::announcement_timeout;
  if (settings_.peers.empty() || runtime_.now() >= end_at) return respond();
  if (!announcements_.contains(key)) begin(key, end_at);
  Announcement& announcement = announcements_.at(key);
  if (announcement.unacknowledged_peers.empty()) return respond();
  announcement.waiting_responses.push_back(std::move(respond));
  if (is_acceptance) runtime_.after(constants::max_acceptance_hold, [this, key] { end_hold(key); });
}

AnnouncedState JobStateAnnouncer::state_of(const std::string& job) const {
  if (const auto final_state = shared_state_.final_state(job))
    return final_state == JobState::done ? AnnouncedState::done : AnnouncedState::cancelled;
  const bool is_cancelled = shared_state_.cancelled().contains(job);
  return is_cancelled ? AnnouncedState::cancelled : AnnouncedState::accepted;
}

void JobStateAnnouncer::begin(const Key& key, SteadyTime end_at) {
  Announcement& announcement = announcements_[key];
  for (const auto& peer : settings_.peers) announcement.unacknowledged_peers.insert(peer.name);
  const auto& [job, state] = key;
  peers_.broadcast(
      protocol::encode_job_state_message({JobStateMessage::Kind::announcement, settings_.name,
                                          settings_.name, incarnation_, job, state}));
  runtime_.after(end_at - runtime_.now(), [this, key] { end(key); });
}

void JobStateAnnouncer::end(const Key& key) {
  auto ended = announcements_.extract(key);
  Announcement& announcement = ended.mapped();
  if (!announcement.unacknowledged_peers.empty())
    spdlog::info("job state not acknowledged id={} peers={} responses={}", key.first,
                 announcement.unacknowledged_peers.size(), announcement.waiting_responses.size());
  send_waiting_responses(key, announcement);
}

void JobStateAnnouncer::end_hold(const Key& key) {
  const auto found = announcements_.find(key);
  if (found != announcements_.end()) send_waiting_responses(key, found->second);
}

bool JobStateAnnouncer::handle_frame(const std::string& frame) {
  const auto message = protocol::decode_job_state_message(frame);
  if (!message) return false;
  if (!is_peer(message->sender)) return true;
  if (message->kind == JobStateMessage::Kind::acknowledgement) {
    on_acknowledgement(*message);
    return true;
  }
  apply(*message);
  JobStateMessage acknowledgement = *message;
  acknowledgement.kind = JobStateMessage::Kind::acknowledgement;
  acknowledgement.sender = settings_.name;
  peers_.broadcast(protocol::encode_job_state_message(acknowledgement));
  return true;
}

// An announcement of any age is valid, since the states are permanent.
void JobStateAnnouncer::apply(const JobStateMessage& announcement) {
  switch (announcement.state) {
    case AnnouncedState::accepted:
      return shared_state_.apply_acceptance(announcement.job);
    case AnnouncedState::cancelled:
      return shared_state_.apply_cancellation(announcement.job);
    case AnnouncedState::done:
      return shared_state_.apply_completion(announcement.job);
  }
}

void JobStateAnnouncer::on_acknowledgement(const JobStateMessage& acknowledgement) {
  if (acknowledgement.announcer != settings_.name ||
      acknowledgement.announcer_incarnation != incarnation_)
    return;
  const Key key{acknowledgement.job, acknowledgement.state};
  const auto found = announcements_.find(key);
  if (found == announcements_.end()) return;
  found->second.unacknowledged_peers.erase(acknowledgement.sender);
  if (found->second.unacknowledged_peers.empty()) send_waiting_responses(key, found->second);
}

// A job whose state has changed meanwhile is reported with its new state, which has to be announced
// first.
void JobStateAnnouncer::send_waiting_responses(const Key& key, Announcement& announcement) {
  const bool is_current = state_of(key.first) == key.second;
  for (auto& respond : std::exchange(announcement.waiting_responses, {}))
    is_current ? respond() : announce(key.first, std::move(respond));
}

bool JobStateAnnouncer::is_peer(const std::string& name) const {
  return std::any_of(settings_.peers.begin(), settings_.peers.end(),
                     [&](const auto& peer) { return peer.name == name; });
}

}  // namespace poppystile::coordination
