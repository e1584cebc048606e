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
  shared_state_.on_leader([this] { leader_changed(); });
}

protocol::Condition LeaderElection::fence() const { return {keys::leader, version_}; }

bool LeaderElection::lease_holds() const {
  return is_leader_ && runtime_.now() - lease_confirmed_at_ <
                           constants::leader_lease_ttl * (1 - constants::clock_drift);
}

void LeaderElection::start() { tick(); }

void LeaderElection::tick() {
  std::uniform_real_distribution<double> jitter(0.8, 1.2);
  runtime_.after(constants::election_tick * jitter(random_), [this] { tick(); });
  if (is_leader_) {
    if (!renewing_ && runtime_.now() - renewal_sent_at_ >= constants::leader_lease_renew_interval)
      renew();
  } else {
    maybe_campaign();
  }
}

void LeaderElection::maybe_campaign() {
  if (campaigning_ || !shared_state_.loaded() || runtime_.now() < cooldown_until_) return;
  const auto& leader = shared_state_.leader();
  // A key with our own name is an earlier life's: that process has ended, so it can be replaced.
  if (leader && leader->record.name != name_) return;
  campaigning_ = true;
  const SteadyTime sent = runtime_.now();
  key_value_client_.create_lease(
      constants::leader_lease_ttl, [this, sent](CallStatus status, std::uint64_t lease) {
        if (status == CallStatus::ok) return campaign(lease, sent);
        runtime_.after(constants::state_retry_pause, [this] { campaigning_ = false; });
      });
}

void LeaderElection::campaign(std::uint64_t lease, SteadyTime sent_at) {
  const auto& leader = shared_state_.leader();
  const std::uint64_t held = leader ? leader->version : 0;
  if (leader && leader->record.name != name_) {
    campaigning_ = false;
    return key_value_client_.revoke_lease(lease);
  }
  const std::uint64_t token = shared_state_.token() + 1;
  protocol::Transaction transaction;
  transaction.conditions = {{keys::leader, held}, {keys::token, shared_state_.token_version()}};
  transaction.changes = {
      {keys::leader, storage::encode(storage::LeaderRecord{name_, token}).dump(), lease},
      {keys::token, storage::encode_token(token).dump(), 0}};
  key_value_client_.compare_and_swap(
      transaction, RequestPriority::lease,
      [this, lease, token, sent_at](const TransactionResult& result) {
        if (result.status == CallStatus::ok) {
          campaigning_ = false;
          is_leader_ = true;
          lease_ = lease;
          token_ = token;
          version_ = result.revision;
          elected_at_ = lease_confirmed_at_ = renewal_sent_at_ = sent_at;
          spdlog::info("leading token={}", token_);
          shared_state_.apply_response(keys::token, storage::encode_token(token), version_);
          shared_state_.apply_response(
              keys::leader, storage::encode(storage::LeaderRecord{name_, token}), version_);
          if (on_elected_) on_elected_();
          return;
        }
        // With no answer the attempt may still succeed: then the watch shows our name,
        // and the next attempt replaces it under a higher token.
        if (result.status != CallStatus::no_response) key_value_client_.revoke_lease(lease);
        runtime_.after(constants::state_retry_pause, [this] { campaigning_ = false; });
      });
}

void LeaderElection::renew() {
  renewing_ = true;
  renewal_sent_at_ = runtime_.now();
  const SteadyTime sent = renewal_sent_at_;
  const std::uint64_t lease = lease_;
  key_value_client_.renew_lease(lease, [this, sent, lease](CallStatus status) {
    renewing_ = false;
    if (!is_leader_ || lease != lease_) return;
    if (status == CallStatus::ok) {
      lease_confirmed_at_ = std::max(lease_confirmed_at_, sent);
    } else if (status == CallStatus::lease_expired) {
      step_down("grant ended");
    } else {
      renewal_sent_at_ =
          runtime_.now() - constants::leader_lease_renew_interval + constants::state_retry_pause;
    }
  });
}

void LeaderElection::leader_changed() {
  if (!is_leader_) return;
  const auto& leader = shared_state_.leader();
  if (!leader || leader->version != version_) step_down("key taken or gone");
}

bool LeaderElection::step_down_if_deposed(const TransactionResult& result) {
  if (std::find(result.failed.begin(), result.failed.end(), keys::leader) == result.failed.end())
    return false;
  step_down("a write found another leader");
  return true;
}

void LeaderElection::resign(const std::string& why, Seconds cooldown) {
  cooldown_until_ = runtime_.now() + cooldown;
  key_value_client_.revoke_lease(lease_);
  step_down(why);
}

void LeaderElection::step_down(const std::string& why) {
  if (!std::exchange(is_leader_, false)) return;
  spdlog::info("no longer leading token={} why=\"{}\"", token_, why);
  if (on_deposed_) on_deposed_();
}

}  // namespace poppystile::coordination
