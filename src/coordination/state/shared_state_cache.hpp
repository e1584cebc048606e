/// \file
/// A local copy of the records shared by all controllers: jobs, leader, fencing token, machine
/// types.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "coordination/state/key_value_client.hpp"
#include "coordination/state/recent_events.hpp"
#include "storage/records.hpp"

namespace poppystile::coordination {

/// A job's record, and the version of its key.
struct CachedJob {
  storage::JobRecord record;
  std::uint64_t version = 0;
};

/// The leader's record, and the version of its key.
struct CachedLeader {
  storage::LeaderRecord record;
  std::uint64_t version = 0;
};

/// Lists the `shared/` keys once and then watches them. Every controller has one.
///
/// Records arrive in any order: from the listing, the watch, and responses to single reads and
/// writes. An older version never replaces a newer one. No later record undoes a cancellation or a
/// final state.
class SharedStateCache {
 public:
  /// Both references must outlive the cache.
  SharedStateCache(transport::Runtime& runtime, KeyValueClient& key_value_client);
  /// Starts to load and watch the records. Call it once.
  void start() { load(); }

  /// Whether the records have been listed once.
  bool loaded() const { return loaded_; }
  /// The revision up to which all changes have been applied.
  std::uint64_t revision() const { return revision_; }
  /// Steady time up to which every committed change has been applied: the time at which the newest
  /// answered listing or watch was sent. Default-constructed until loaded.
  SteadyTime fresh_as_of() const { return fresh_as_of_; }
  /// The wall time that corresponds to `fresh_as_of`.
  WallTime fresh_as_of_wall() const { return fresh_as_of_wall_; }
  /// Jobs with a record, keyed by id.
  const std::map<std::string, CachedJob>& jobs() const { return jobs_; }
  /// The job, or null if it has no record. The pointer is valid until the next change.
  const CachedJob* job(const std::string& id) const;
  /// The job's final state; `nullopt` if none has been read.
  std::optional<protocol::JobState> final_state(const std::string& id) const;
  /// Ids of the cancelled jobs for which no final state has been read.
  const std::set<std::string>& cancelled() const { return cancelled_; }
  /// Steady time at which this cache learnt that the job is cancelled or done. May be earlier if
  /// the job is neither, or if that was longer than `constants::announcement_timeout` ago.
  SteadyTime terminal_since(const std::string& id) const;
  /// Steady time at which this cache learnt of the job. May be earlier if that was longer than
  /// `constants::announcement_timeout` ago.
  SteadyTime known_since(const std::string& id) const;
  /// Whether a peer has announced that it accepted the job. Forgotten after
  /// `constants::announcement_timeout`.
  bool accepted_by_peer(const std::string& id) const {
    return accepted_by_peers_.find(id).has_value();
  }
  /// The leader's record; `nullopt` if there is no leader.
  const std::optional<CachedLeader>& leader() const { return leader_; }
  /// The highest fencing token that was read, and the version of its key; 0 if none is stored.
  std::uint64_t token() const { return token_; }
  std::uint64_t token_version() const { return token_version_; }
  /// The machine types, and the version of their key; 0 if none are stored.
  const std::vector<protocol::MachineType>& types() const { return types_; }
  std::uint64_t catalog_version() const { return catalog_version_; }

  /// Applies a record from a response of the state service before the watch delivers it. `value` is
  /// `nullopt` if the key does not exist. A record that cannot be decoded is logged and ignored.
  void apply_response(const std::string& key, const std::optional<protocol::Json>& value,
                      std::uint64_t version);
  /// Marks a job as cancelled because a peer has advertised its cancellation, which may not have
  /// reached this cache yet.
  void apply_cancellation(const std::string& id);
  /// Sets the final state `done` because a peer has announced it.
  void apply_completion(const std::string& id);
  /// Remembers that a peer has accepted the job, whose record may not have reached this cache yet.
  void apply_acceptance(const std::string& id) { accepted_by_peers_.record(id, runtime_.now()); }
  /// Sets the handler that runs whenever a job's record was changed or deleted.
  void on_job(std::function<void(const std::string& id)> handler) { on_job_ = std::move(handler); }
  /// Sets the handler that runs, once the cache is loaded, whenever the leader's record may have
  /// changed.
  void on_leader(std::function<void()> handler) { on_leader_ = std::move(handler); }

 private:
  void load();
  void apply_listing(const protocol::EntryPage& listing);
  void watch_changes(std::uint64_t after);
  void update_freshness(SteadyTime as_of, WallTime as_of_wall);
  void apply_job(const std::string& id, const std::optional<protocol::Json>& value,
                 std::uint64_t version);
  void apply_final_state(const std::string& id, const std::optional<protocol::Json>& value);
  void set_final_state(const std::string& id, protocol::JobState state);
  void record(RecentEvents& events, const std::string& id) const;
  SteadyTime time_of(const RecentEvents& events, const std::string& id) const;
  void apply_leader(const std::optional<protocol::Json>& value, std::uint64_t version);

  transport::Runtime& runtime_;
  KeyValueClient& key_value_client_;
  bool loaded_ = false;
  std::uint64_t revision_ = 0;
  SteadyTime fresh_as_of_;
  WallTime fresh_as_of_wall_;
  std::map<std::string, CachedJob> jobs_;
  std::unordered_map<std::string, protocol::JobState> final_states_;
  std::set<std::string> cancelled_;
  RecentEvents known_since_{constants::announcement_timeout};
  RecentEvents terminal_since_{constants::announcement_timeout};
  RecentEvents accepted_by_peers_{constants::announcement_timeout};
  SteadyTime loaded_at_;
  std::optional<CachedLeader> leader_;
  std::uint64_t leader_version_ = 0;  // Version of the leader key's last change or deletion.
  std::uint64_t token_ = 0;
  std::uint64_t token_version_ = 0;
  std::vector<protocol::MachineType> types_;
  std::uint64_t catalog_version_ = 0;
  std::function<void(const std::string&)> on_job_;
  std::function<void()> on_leader_;
};

}  // namespace poppystile::coordination
