// What every controller knows of jobs, leader and machine types: the `shared/` records, read once
// and followed by a watch.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "coordination/state/key_value_client.hpp"
#include "storage/records.hpp"

namespace poppystile::coordination {

struct CachedJob {
  storage::JobRecord record;
  std::uint64_t version = 0;
};

struct CachedLeader {
  storage::LeaderRecord record;
  std::uint64_t version = 0;
};

class SharedStateCache {
 public:
  SharedStateCache(transport::Runtime& runtime, KeyValueClient& key_value_client);
  void start() { load(); }

  bool loaded() const { return loaded_; }
  // All changes up to here have been taken in.
  std::uint64_t revision() const { return revision_; }
  // Steady time before which nothing was committed that is not taken in: when the newest listing or
  // watch that was answered was asked for. 0: not loaded.
  SteadyTime fresh_as_of() const { return fresh_as_of_; }
  // Time of day of the same.
  WallTime fresh_as_of_wall() const { return fresh_as_of_wall_; }
  const std::map<std::string, CachedJob>& jobs() const { return jobs_; }
  const CachedJob* job(const std::string& id) const;
  std::optional<protocol::JobState> final_state(const std::string& id) const;
  // Jobs known to be cancelled and not to be over.
  const std::set<std::string>& cancelled() const { return cancelled_; }
  const std::optional<CachedLeader>& leader() const { return leader_; }
  std::uint64_t token() const { return token_; }
  std::uint64_t token_version() const { return token_version_; }
  const std::vector<protocol::MachineType>& types() const { return types_; }
  std::uint64_t catalog_version() const { return catalog_version_; }

  // Takes what an answer of the state service told, ahead of the watch.
  void apply_response(const std::string& key, const std::optional<protocol::Json>& value,
                      std::uint64_t version);
  // A sibling's directory shows the job as cancelled, which is for good; our own may get there
  // later.
  void apply_cancellation(const std::string& id);
  void on_job(std::function<void(const std::string& id)> handler) { on_job_ = std::move(handler); }
  void on_leader(std::function<void()> handler) { on_leader_ = std::move(handler); }

 private:
  void load();
  void follow(std::uint64_t after);
  void note_fresh(SteadyTime at, WallTime wall_at);
  void apply(const std::string& key, const std::optional<protocol::Json>& value,
             std::uint64_t version);
  void apply_job(const std::string& id, const std::optional<protocol::Json>& value,
                 std::uint64_t version);

  transport::Runtime& runtime_;
  KeyValueClient& key_value_client_;
  bool loaded_ = false;
  std::uint64_t revision_ = 0;
  SteadyTime fresh_as_of_;
  WallTime fresh_as_of_wall_;
  std::map<std::string, CachedJob> jobs_;
  std::unordered_map<std::string, protocol::JobState> final_states_;
  std::set<std::string> cancelled_;
  std::optional<CachedLeader> leader_;
  std::uint64_t leader_version_ = 0;  // newest revision heard of the leader's key
  std::uint64_t token_ = 0;
  std::uint64_t token_version_ = 0;
  std::vector<protocol::MachineType> types_;
  std::uint64_t catalog_version_ = 0;
  std::function<void(const std::string&)> on_job_;
  std::function<void()> on_leader_;
};

}  // namespace poppystile::coordination
