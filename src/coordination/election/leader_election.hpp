// Who leads: a key held by a grant, and a token that grows with every change of leader.
#pragma once

#include <functional>
#include <random>
#include <string>

#include "coordination/state/key_value_client.hpp"
#include "coordination/state/shared_state_cache.hpp"

namespace poppystile::coordination {

class LeaderElection {
 public:
  LeaderElection(transport::Runtime& runtime, KeyValueClient& key_value_client,
                 SharedStateCache& shared_state, std::string name, std::uint64_t seed);
  void start();

  bool is_leader() const { return is_leader_; }
  std::uint64_t token() const { return token_; }
  // Every write of a leader is conditional on this: a late one of a former leader changes nothing.
  protocol::Condition fence() const;
  // Steady time at which the newest confirmed renewal was sent.
  SteadyTime lease_confirmed_at() const { return lease_confirmed_at_; }
  // Whether the grant cannot have run out yet, so that nobody else can lead.
  bool lease_holds() const;
  // Steady time at which the election was asked for that this node won.
  SteadyTime elected_at() const { return elected_at_; }
  void step_down(const std::string& why);
  // Whether a write was refused because somebody else leads; then this node does not any more.
  bool step_down_if_deposed(const TransactionResult& result);
  // Gives the grant back, so that a sibling can lead at once, and does not run again for a while.
  void resign(const std::string& why, Seconds cooldown);
  // Ends that while.
  void end_cooldown() { cooldown_until_ = {}; }
  void on_elected(std::function<void()> handler) { on_elected_ = std::move(handler); }
  void on_deposed(std::function<void()> handler) { on_deposed_ = std::move(handler); }

 private:
  void tick();
  void maybe_campaign();
  void campaign(std::uint64_t lease, SteadyTime sent_at);
  void renew();
  void leader_changed();

  transport::Runtime& runtime_;
  KeyValueClient& key_value_client_;
  SharedStateCache& shared_state_;
  std::string name_;
  std::mt19937_64 random_;
  bool is_leader_ = false;
  bool campaigning_ = false;
  bool renewing_ = false;
  std::uint64_t lease_ = 0;
  std::uint64_t token_ = 0;
  std::uint64_t version_ = 0;  // of the leader's key
  SteadyTime lease_confirmed_at_;
  SteadyTime elected_at_;
  SteadyTime renewal_sent_at_;
  SteadyTime cooldown_until_;  // steady; does not run for the key before
  std::function<void()> on_elected_;
  std::function<void()> on_deposed_;
};

}  // namespace poppystile::coordination
