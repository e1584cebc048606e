// What every controller knows of jobs, leader and machine types: the `shared/` records, read once
// and followed by a watch.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "bookkeeping/records.hpp"
#include "coordination/state_store.hpp"

namespace poppystile::coordination {

struct KnownJob {
  bookkeeping::JobRecord record;
  std::uint64_t version = 0;
};

struct KnownLeader {
  bookkeeping::LeaderRecord record;
  std::uint64_t version = 0;
};

class Directory {
 public:
  Directory(transport::Runtime& runtime, StateStore& store);
  void start() { load(); }

  bool loaded() const { return loaded_; }
  // All changes up to here have been taken in.
  std::uint64_t revision() const { return revision_; }
  const std::map<std::string, KnownJob>& jobs() const { return jobs_; }
  const KnownJob* job(const std::string& id) const;
  std::optional<protocol::JobState> final_state(const std::string& id) const;
  const std::optional<KnownLeader>& leader() const { return leader_; }
  std::uint64_t token() const { return token_; }
  std::uint64_t token_version() const { return token_version_; }
  const std::vector<protocol::MachineType>& types() const { return types_; }
  std::uint64_t catalog_version() const { return catalog_version_; }

  // Takes what an answer of the state service told, ahead of the watch.
  void learn(const std::string& key, const std::optional<protocol::Json>& value,
             std::uint64_t version);
  void on_job(std::function<void(const std::string& id)> handler) { on_job_ = std::move(handler); }
  void on_leader(std::function<void()> handler) { on_leader_ = std::move(handler); }

 private:
  void load();
  void follow(std::uint64_t after);
  void apply(const std::string& key, const std::optional<protocol::Json>& value,
             std::uint64_t version);
  void apply_job(const std::string& id, const std::optional<protocol::Json>& value,
                 std::uint64_t version);

  transport::Runtime& runtime_;
  StateStore& store_;
  bool loaded_ = false;
  std::uint64_t revision_ = 0;
  std::map<std::string, KnownJob> jobs_;
  std::unordered_map<std::string, protocol::JobState> over_;
  std::optional<KnownLeader> leader_;
  std::uint64_t leader_seen_ = 0;  // newest revision heard of the leader's key
  std::uint64_t token_ = 0;
  std::uint64_t token_version_ = 0;
  std::vector<protocol::MachineType> types_;
  std::uint64_t catalog_version_ = 0;
  std::function<void(const std::string&)> on_job_;
  std::function<void()> on_leader_;
};

}  // namespace poppystile::coordination
