// Who leads: a key held by a grant, and a token that grows with every change of leader.
#pragma once

#include <functional>
#include <random>
#include <string>

#include "coordination/state/key_value_client.hpp"
#include "coordination/state/shared_state_cache.hpp"

namespace poppystile::coordination {

class Leadership {
 public:
  Leadership(transport::Runtime& runtime, StateStore& store, Directory& directory, std::string name,
             std::uint64_t seed);
  void start();

  bool leading() const { return leading_; }
  std::uint64_t token() const { return token_; }
  // Every write of a leader is conditional on this: a late one of a former leader changes nothing.
  protocol::Condition fence() const;
  // Steady time at which the newest confirmed renewal was sent.
  double confirmed_s() const { return confirmed_s_; }
  // Whether the grant cannot have run out yet, so that nobody else can lead.
  bool grant_holds() const;
  // Steady time at which the election was asked for that this node won.
  double won_s() const { return won_s_; }
  void step_down(const std::string& why);
  // Whether a write was refused because somebody else leads; then this node does not any more.
  bool deposed(const TransactionResult& result);
  // Gives the grant back, so that a sibling can lead at once, and does not run again for a while.
  void resign(const std::string& why, double aside_s);
  // Ends that while.
  void run_again() { aside_until_s_ = 0; }
  void on_won(std::function<void()> handler) { on_won_ = std::move(handler); }
  void on_lost(std::function<void()> handler) { on_lost_ = std::move(handler); }

 private:
  void tick();
  void consider();
  void run_for_it(std::uint64_t lease, double sent_s);
  void renew();
  void leader_changed();

  transport::Runtime& runtime_;
  StateStore& store_;
  Directory& directory_;
  std::string name_;
  std::mt19937_64 random_;
  bool leading_ = false;
  bool trying_ = false;
  bool renewing_ = false;
  std::uint64_t lease_ = 0;
  std::uint64_t token_ = 0;
  std::uint64_t version_ = 0;  // of the leader's key
  double confirmed_s_ = 0;
  double won_s_ = 0;
  double renewed_s_ = 0;
  double aside_until_s_ = 0;  // steady; does not run for the key before
  std::function<void()> on_won_;
  std::function<void()> on_lost_;
};

}  // namespace poppystile::coordination
