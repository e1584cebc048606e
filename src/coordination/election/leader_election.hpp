/// \file
/// Leader election: a key attached to a lease, and a fencing token that increases with each term.
#pragma once

#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <utility>

#include "coordination/state/key_value_client.hpp"
#include "coordination/state/shared_state_cache.hpp"

namespace poppystile::coordination {

/// Campaigns for the leader key, and keeps it by renewing the leader lease.
///
/// At most one controller holds the key at a time. A leader may be deposed without noticing it at
/// once. Therefore each of its writes must be conditional on `fence()`, and an action that is not
/// protected by such a write is allowed only while `has_valid_lease()`.
class LeaderElection {
 public:
  /// All references must outlive the election. `name` is this controller's name, unique among its
  /// peers; `seed` seeds the jitter of the election timer.
  LeaderElection(transport::Runtime& runtime, KeyValueClient& key_value_client,
                 SharedStateCache& shared_state, std::string name, std::uint64_t seed);
  /// Starts the election timer: from now on this controller campaigns whenever there is no leader.
  /// Call it once.
  void start();

  /// Whether this controller is the leader. May still be true shortly after it was deposed.
  bool is_leader() const { return role_ == Role::leader; }
  /// Fencing token of the last election that this controller won; 0 if it has won none.
  std::uint64_t token() const { return token_; }
  /// The condition that every write of the leader must carry. It fails once another controller has
  /// taken the leader key, so a delayed write of a deposed leader changes nothing.
  protocol::Condition fence() const;
  /// Steady time at which the last confirmed renewal of the leader lease was sent; the start of the
  /// campaign until a renewal is confirmed.
  SteadyTime lease_confirmed_at() const { return lease_confirmed_at_; }
  /// Whether this controller is the leader and its lease cannot have expired yet, so that no other
  /// controller can be the leader.
  bool has_valid_lease() const;
  /// Steady time at which the last campaign that this controller won began.
  SteadyTime won_campaign_started_at() const { return won_campaign_started_at_; }

  /// Ends this controller's term without deleting the leader key, for example because another
  /// controller holds it. Does nothing if this controller is not the leader. `reason` is logged.
  void step_down(const std::string& reason);
  /// Steps down if the write failed on the condition `fence()`, so that this controller is no
  /// longer the leader. Returns whether that condition failed.
  bool step_down_if_deposed(const TransactionResult& result);
  /// Revokes the leader lease, so that a peer can be elected at once, and steps down. This
  /// controller does not campaign again until `cooldown` has passed. It must be the leader.
  void resign(const std::string& reason, Seconds cooldown);
  /// Ends the cooldown after a resignation: this controller may campaign again at once.
  void end_cooldown() { cooldown_until_ = {}; }
  /// Sets the handler that runs whenever this controller has become the leader.
  void on_elected(std::function<void()> handler) { on_elected_ = std::move(handler); }
  /// Sets the handler that runs whenever this controller has ceased to be the leader.
  void on_deposed(std::function<void()> handler) { on_deposed_ = std::move(handler); }

 private:
  // Transitions: follower -> campaigning -> leader -> follower, and campaigning -> follower.
  enum class Role : std::uint8_t { follower, campaigning, leader };

  void tick();
  bool may_campaign() const;
  bool key_is_held_by_other() const;
  void campaign();
  void claim_key(std::uint64_t lease, SteadyTime campaign_started_at);
  protocol::Transaction make_claim(std::uint64_t lease, std::uint64_t token) const;
  void become_leader(std::uint64_t lease, std::uint64_t token, std::uint64_t version,
                     SteadyTime campaign_started_at);
  void end_campaign_after_pause();
  void maybe_renew();
  void on_renewal(CallStatus status, SteadyTime sent_at);
  void on_leader_key_changed();

  transport::Runtime& runtime_;
  KeyValueClient& key_value_client_;
  SharedStateCache& shared_state_;
  std::string name_;
  std::mt19937_64 random_;
  Role role_ = Role::follower;
  bool is_renewing_ = false;   // A renewal is in flight, possibly one of an earlier term.
  std::uint64_t lease_ = 0;    // Leader lease of the last term.
  std::uint64_t token_ = 0;    // Fencing token of the last term.
  std::uint64_t version_ = 0;  // Version of the leader key as written by this controller.
  SteadyTime lease_confirmed_at_;
  SteadyTime won_campaign_started_at_;
  SteadyTime renewal_sent_at_;
  SteadyTime cooldown_until_;  // This controller does not campaign before this time.
  std::function<void()> on_elected_;
  std::function<void()> on_deposed_;
};

}  // namespace poppystile::coordination
