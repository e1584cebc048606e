/// \file
/// Leader election: a key held by a lease, and a fencing token that grows with each new leader.
#pragma once

#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <utility>

#include "coordination/state/key_value_client.hpp"
#include "coordination/state/shared_state_cache.hpp"

namespace poppystile::coordination {

/// Campaigns for the leader's key, and keeps it by renewing the leader lease.
///
/// At most one controller holds the key at a time. A leader may learn late that it was deposed;
/// therefore each of its writes is conditional on `fence()`, and what no write protects must be
/// done only while `lease_holds()`.
class LeaderElection {
 public:
  /// All references must outlive the election. `name` is this controller's name, unique among its
  /// peers; `seed` starts the jitter of its timers.
  LeaderElection(transport::Runtime& runtime, KeyValueClient& key_value_client,
                 SharedStateCache& shared_state, std::string name, std::uint64_t seed);
  /// Begins to campaign whenever there is no leader. Call it once.
  void start();

  /// Whether this controller leads, as far as it knows.
  bool is_leader() const { return role_ == Role::leader; }
  /// Fencing token of the newest election that this controller won; 0 if it has won none.
  std::uint64_t token() const { return token_; }
  /// The condition for every write of a leader: a late write of a deposed one changes nothing.
  protocol::Condition fence() const;
  /// Steady time at which the newest confirmed renewal of the leader lease was sent.
  SteadyTime lease_confirmed_at() const { return lease_confirmed_at_; }
  /// Whether this controller leads and its lease cannot have expired yet, so nobody else can lead.
  bool lease_holds() const;
  /// Steady time at which the campaign began that this controller won last.
  SteadyTime elected_at() const { return elected_at_; }

  /// Stops leading without deleting the key, for example because it belongs to somebody else. Does
  /// nothing if this controller does not lead. `why` goes to the log.
  void step_down(const std::string& why);
  /// Steps down if the result of a fenced write shows that somebody else leads; returns whether it
  /// does.
  bool step_down_if_deposed(const TransactionResult& result);
  /// Revokes the leader lease, so that a peer can lead at once, and steps down. This controller
  /// does not campaign again before `cooldown` has passed. It must be the leader.
  void resign(const std::string& why, Seconds cooldown);
  /// Lets this controller campaign again at once after a resignation.
  void end_cooldown() { cooldown_until_ = {}; }
  /// `handler` runs whenever this controller has become the leader.
  void on_elected(std::function<void()> handler) { on_elected_ = std::move(handler); }
  /// `handler` runs whenever this controller has stopped leading.
  void on_deposed(std::function<void()> handler) { on_deposed_ = std::move(handler); }

 private:
  // follower -> campaigning -> leader -> follower, or from campaigning back to follower.
  enum class Role : std::uint8_t { follower, campaigning, leader };

  void tick();
  bool may_campaign() const;
  bool key_is_held_by_other() const;
  void campaign();
  void claim_key(std::uint64_t lease, SteadyTime campaign_began);
  protocol::Transaction make_claim(std::uint64_t lease, std::uint64_t token) const;
  void become_leader(std::uint64_t lease, std::uint64_t token, std::uint64_t version,
                     SteadyTime campaign_began);
  void end_campaign_after_pause();
  void maybe_renew();
  void on_renewal(CallStatus status, SteadyTime sent);
  void on_leader_key_changed();

  transport::Runtime& runtime_;
  KeyValueClient& key_value_client_;
  SharedStateCache& shared_state_;
  std::string name_;
  std::mt19937_64 random_;
  Role role_ = Role::follower;
  bool is_renewing_ = false;   // a renewal has not been answered yet, maybe of an earlier term
  std::uint64_t lease_ = 0;    // of the newest term
  std::uint64_t token_ = 0;    // of the newest term
  std::uint64_t version_ = 0;  // of the leader's key as this controller wrote it
  SteadyTime lease_confirmed_at_;
  SteadyTime elected_at_;
  SteadyTime renewal_sent_at_;
  SteadyTime cooldown_until_;  // does not campaign before
  std::function<void()> on_elected_;
  std::function<void()> on_deposed_;
};

}  // namespace poppystile::coordination
