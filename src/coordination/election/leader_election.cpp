#include "coordination/election/leader_election.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "constants.hpp"

namespace poppystile::coordination {

namespace keys = storage::keys;

Leadership::Leadership(transport::Runtime& runtime, StateStore& store, Directory& directory,
                       std::string name, std::uint64_t seed)
    : runtime_(runtime),
      store_(store),
      directory_(directory),
      name_(std::move(name)),
      random_(seed) {
  directory_.on_leader([this] { leader_changed(); });
}

protocol::Condition Leadership::fence() const { return {keys::leader, version_}; }

bool Leadership::grant_holds() const {
  return leading_ && runtime_.now_s() - confirmed_s_ <
                         constants::grant_ttl_ms / 1000.0 * (1 - constants::clock_drift);
}

void Leadership::start() { tick(); }

void Leadership::tick() {
  std::uniform_real_distribution<double> jitter(0.8, 1.2);
  runtime_.after(constants::leadership_tick_s * jitter(random_), [this] { tick(); });
  if (leading_) {
    if (!renewing_ && runtime_.now_s() - renewed_s_ >= constants::grant_renew_s) renew();
  } else {
    consider();
  }
}

void Leadership::consider() {
  if (trying_ || !directory_.loaded() || runtime_.now_s() < aside_until_s_) return;
  const auto& leader = directory_.leader();
  // A key with our own name is an earlier life's: that process has ended, so it can be replaced.
  if (leader && leader->record.name != name_) return;
  trying_ = true;
  const double sent = runtime_.now_s();
  store_.create_lease(constants::grant_ttl_ms, [this, sent](Outcome outcome, std::uint64_t lease) {
    if (outcome == Outcome::ok) return run_for_it(lease, sent);
    runtime_.after(constants::state_retry_s, [this] { trying_ = false; });
  });
}

void Leadership::run_for_it(std::uint64_t lease, double sent_s) {
  const auto& leader = directory_.leader();
  const std::uint64_t held = leader ? leader->version : 0;
  if (leader && leader->record.name != name_) {
    trying_ = false;
    return store_.drop_lease(lease);
  }
  const std::uint64_t token = directory_.token() + 1;
  protocol::Transaction transaction;
  transaction.conditions = {{keys::leader, held}, {keys::token, directory_.token_version()}};
  transaction.changes = {
      {keys::leader, storage::encode(storage::LeaderRecord{name_, token}).dump(), lease},
      {keys::token, storage::encode_token(token).dump(), 0}};
  store_.transact(
      transaction, Urgency::lease, [this, lease, token, sent_s](const TransactionResult& result) {
        if (result.outcome == Outcome::ok) {
          trying_ = false;
          leading_ = true;
          lease_ = lease;
          token_ = token;
          version_ = result.revision;
          won_s_ = confirmed_s_ = renewed_s_ = sent_s;
          spdlog::info("leading token={}", token_);
          directory_.learn(keys::token, storage::encode_token(token), version_);
          directory_.learn(keys::leader, storage::encode(storage::LeaderRecord{name_, token}),
                           version_);
          if (on_won_) on_won_();
          return;
        }
        // With no answer the attempt may still succeed: then the watch shows our name,
        // and the next attempt replaces it under a higher token.
        if (result.outcome != Outcome::unknown) store_.drop_lease(lease);
        runtime_.after(constants::state_retry_s, [this] { trying_ = false; });
      });
}

void Leadership::renew() {
  renewing_ = true;
  renewed_s_ = runtime_.now_s();
  const double sent = renewed_s_;
  const std::uint64_t lease = lease_;
  store_.renew_lease(lease, [this, sent, lease](Outcome outcome) {
    renewing_ = false;
    if (!leading_ || lease != lease_) return;
    if (outcome == Outcome::ok) {
      confirmed_s_ = std::max(confirmed_s_, sent);
    } else if (outcome == Outcome::lease_gone) {
      step_down("grant ended");
    } else {
      renewed_s_ = runtime_.now_s() - constants::grant_renew_s + constants::state_retry_s;
    }
  });
}

void Leadership::leader_changed() {
  if (!leading_) return;
  const auto& leader = directory_.leader();
  if (!leader || leader->version != version_) step_down("key taken or gone");
}

bool Leadership::deposed(const TransactionResult& result) {
  if (std::find(result.failed.begin(), result.failed.end(), keys::leader) == result.failed.end())
    return false;
  step_down("a write found another leader");
  return true;
}

void Leadership::resign(const std::string& why, double aside_s) {
  aside_until_s_ = runtime_.now_s() + aside_s;
  store_.drop_lease(lease_);
  step_down(why);
}

void Leadership::step_down(const std::string& why) {
  if (!std::exchange(leading_, false)) return;
  spdlog::info("no longer leading token={} why=\"{}\"", token_, why);
  if (on_lost_) on_lost_();
}

}  // namespace poppystile::coordination
