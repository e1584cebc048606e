#include "coordination/election/leader_election.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "constants.hpp"

namespace poppystile::coordination {

namespace keys = storage::keys;

LeaderElection::LeaderElection(transport::Runtime& runtime, KeyValueClient& key_value_client,
                               SharedStateCache& shared_state, std::string name, std::uint64_t seed)
    : runtime_(runtime),
      key_value_client_(key_value_client),
      shared_state_(shared_state),
      name_(std::move(name)),
      random_(seed) {
  shared_state_.on_leader([this] { on_leader_key_changed(); });
}

protocol::Condition LeaderElection::fence() const { return {keys::leader, version_}; }

bool LeaderElection::has_valid_lease() const {
  return is_leader() && runtime_.now() - lease_confirmed_at_ <
                            constants::leader_lease_ttl * (1 - constants::clock_drift);
}

void LeaderElection::start() { tick(); }

void LeaderElection::tick() {
  std::uniform_real_distribution<double> jitter(0.8, 1.2);
  runtime_.after(constants::election_tick * jitter(random_), [this] { tick(); });
  if (is_leader()) {
    maybe_renew();
  } else if (may_campaign()) {
    campaign();
  }
}

// --- campaign ---

bool LeaderElection::may_campaign() const {
  return role_ == Role::follower && shared_state_.loaded() && runtime_.now() >= cooldown_until_ &&
         !key_is_held_by_other();
}

// A key with this controller's own name was written by an earlier incarnation of the process, or by
// a claim without a response. Neither is a leader, so the key can be replaced.
bool LeaderElection::key_is_held_by_other() const {
  const auto& leader = shared_state_.leader();
  return leader && leader->record.name != name_;
}

void LeaderElection::campaign() {
  role_ = Role::campaigning;
  const SteadyTime started_at = runtime_.now();
  key_value_client_.create_lease(constants::leader_lease_ttl,
                                 [this, started_at](CallStatus status, std::uint64_t lease) {
                                   if (status == CallStatus::ok)
                                     return claim_key(lease, started_at);
                                   end_campaign_after_pause();
                                 });
}

void LeaderElection::claim_key(std::uint64_t lease, SteadyTime campaign_started_at) {
  if (key_is_held_by_other()) {
    role_ = Role::follower;
    return key_value_client_.revoke_lease(lease);
  }
  const std::uint64_t token = shared_state_.token() + 1;
  key_value_client_.compare_and_swap(
      make_claim(lease, token), RequestPriority::lease,
      [this, lease, token, campaign_started_at](const TransactionResult& result) {
        if (result.status == CallStatus::ok)
          return become_leader(lease, token, result.revision, campaign_started_at);
        // A claim without a response may still succeed. The watch then shows this controller's name
        // in the key, and its next campaign replaces the key with a higher token.
        if (result.status != CallStatus::no_response) key_value_client_.revoke_lease(lease);
        end_campaign_after_pause();
      });
}

protocol::Transaction LeaderElection::make_claim(std::uint64_t lease, std::uint64_t token) const {
  const auto& leader = shared_state_.leader();
  const std::uint64_t key_version = leader ? leader->version : 0;
  protocol::Transaction transaction;
  transaction.conditions = {{keys::leader, key_version},
                            {keys::token, shared_state_.token_version()}};
  transaction.changes = {
      {keys::leader, storage::encode(storage::LeaderRecord{name_, token}).dump(), lease},
      {keys::token, storage::encode_token(token).dump(), 0}};
  return transaction;
}

void LeaderElection::become_leader(std::uint64_t lease, std::uint64_t token, std::uint64_t version,
                                   SteadyTime campaign_started_at) {
  role_ = Role::leader;
  lease_ = lease;
  token_ = token;
  version_ = version;
  won_campaign_started_at_ = campaign_started_at;
  lease_confirmed_at_ = campaign_started_at;
  renewal_sent_at_ = campaign_started_at;
  spdlog::info("leading token={}", token_);
  shared_state_.apply_response(keys::token, storage::encode_token(token), version_);
  shared_state_.apply_response(keys::leader, storage::encode(storage::LeaderRecord{name_, token}),
                               version_);
  if (on_elected_) on_elected_();
}

void LeaderElection::end_campaign_after_pause() {
  runtime_.after(constants::state_retry_pause, [this] { role_ = Role::follower; });
}

// --- leader lease ---

void LeaderElection::maybe_renew() {
  if (is_renewing_ || runtime_.now() - renewal_sent_at_ < constants::leader_lease_renew_interval)
    return;
  is_renewing_ = true;
  renewal_sent_at_ = runtime_.now();
  key_value_client_.renew_lease(
      lease_, [this, sent_at = renewal_sent_at_, lease = lease_](CallStatus status) {
        is_renewing_ = false;
        if (is_leader() && lease == lease_) on_renewal(status, sent_at);
      });
}

void LeaderElection::on_renewal(CallStatus status, SteadyTime sent_at) {
  if (status == CallStatus::ok) {
    lease_confirmed_at_ = std::max(lease_confirmed_at_, sent_at);
  } else if (status == CallStatus::lease_expired) {
    step_down("leader lease expired");
  } else {
    // The next renewal is due after the retry pause instead of the renewal interval.
    renewal_sent_at_ =
        runtime_.now() - constants::leader_lease_renew_interval + constants::state_retry_pause;
  }
}

// --- end of a term ---

void LeaderElection::on_leader_key_changed() {
  if (!is_leader()) return;
  const auto& leader = shared_state_.leader();
  if (!leader || leader->version != version_) step_down("leader key changed or deleted");
}

bool LeaderElection::step_down_if_deposed(const TransactionResult& result) {
  if (std::find(result.failed.begin(), result.failed.end(), keys::leader) == result.failed.end())
    return false;
  step_down("a conditional write failed on the leader key");
  return true;
}

void LeaderElection::resign(const std::string& reason, Seconds cooldown) {
  cooldown_until_ = runtime_.now() + cooldown;
  key_value_client_.revoke_lease(lease_);
  step_down(reason);
}

void LeaderElection::step_down(const std::string& reason) {
  if (!is_leader()) return;
  role_ = Role::follower;
  spdlog::info("no longer leading token={} why=\"{}\"", token_, reason);
  if (on_deposed_) on_deposed_();
}

}  // namespace poppystile::coordination
