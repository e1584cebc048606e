#include "coordination/state/shared_state_cache.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "constants.hpp"

namespace poppystile::coordination {

namespace keys = storage::keys;
using protocol::Json;

SharedStateCache::SharedStateCache(transport::Runtime& runtime, KeyValueClient& key_value_client)
    : runtime_(runtime), key_value_client_(key_value_client) {}

const CachedJob* SharedStateCache::job(const std::string& id) const {
  const auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : &it->second;
}

std::optional<protocol::JobState> SharedStateCache::final_state(const std::string& id) const {
  const auto it = final_states_.find(id);
  if (it == final_states_.end()) return std::nullopt;
  return it->second;
}

void SharedStateCache::note_fresh(SteadyTime at, WallTime wall_at) {
  fresh_as_of_ = std::max(fresh_as_of_, at);
  fresh_as_of_wall_ = std::max(fresh_as_of_wall_, wall_at);
}

void SharedStateCache::load() {
  const SteadyTime asked = runtime_.now();
  const WallTime asked_wall = runtime_.wall_now();
  key_value_client_.list_all(
      keys::shared, RequestPriority::user,
      [this, asked, asked_wall](CallStatus outcome, const protocol::EntryPage& all) {
        if (outcome != CallStatus::ok) {
          runtime_.after(constants::state_retry_pause, [this] { load(); });
          return;
        }
        // After a gap in the watch, what is not listed any more has been deleted
        // meanwhile.
        std::map<std::string, bool> listed;
        for (const auto& each : all.entries) listed[each.key] = true;
        std::vector<std::string> vanished;
        for (const auto& [id, known] : jobs_)
          if (!listed.contains(storage::job_key(id)) && known.version <= all.revision)
            vanished.push_back(id);
        for (const auto& each : all.entries) apply(each.key, each.value, each.version);
        for (const auto& id : vanished) apply_job(id, std::nullopt, all.revision);
        if (!listed.contains(keys::leader)) apply(keys::leader, std::nullopt, all.revision);
        if (!loaded_)
          spdlog::info("directory loaded jobs={} over={}", jobs_.size(), final_states_.size());
        loaded_ = true;
        revision_ = std::max(revision_, all.revision);
        note_fresh(asked, asked_wall);
        if (on_leader_) on_leader_();
        follow(all.revision);
      });
}

void SharedStateCache::follow(std::uint64_t after) {
  const SteadyTime asked = runtime_.now();
  const WallTime asked_wall = runtime_.wall_now();
  key_value_client_.watch(
      keys::shared, after,
      [this, after, asked, asked_wall](CallStatus outcome, const protocol::WatchPage& page) {
        if (outcome == CallStatus::conflict) return load();
        if (outcome != CallStatus::ok) {
          runtime_.after(constants::state_retry_pause, [this, after] { follow(after); });
          return;
        }
        for (const auto& each : page.events) apply(each.key, each.value, each.version);
        revision_ = std::max(revision_, page.revision);
        note_fresh(asked, asked_wall);
        follow(std::max(after, page.revision));
      });
}

void SharedStateCache::apply_response(const std::string& key, const std::optional<Json>& value,
                                      std::uint64_t version) {
  apply(key, value, version);
}

void SharedStateCache::apply(const std::string& key, const std::optional<Json>& value,
                             std::uint64_t version) {
  try {
    if (key.starts_with(keys::jobs)) {
      apply_job(key.substr(keys::jobs.size()), value, version);
    } else if (key.starts_with(keys::over)) {
      // Final: whatever is written there is never changed or removed.
      const std::string id = key.substr(keys::over.size());
      if (!value) return;
      final_states_.emplace(id, storage::decode_final_state(*value));
      cancelled_.erase(id);
    } else if (key == keys::leader) {
      if (version < leader_version_) return;
      leader_version_ = version;
      leader_.reset();
      if (value) leader_ = CachedLeader{storage::decode_leader(*value), version};
      if (loaded_ && on_leader_) on_leader_();
    } else if (key == keys::token && value && version > token_version_) {
      token_ = storage::decode_token(*value);
      token_version_ = version;
    } else if (key == keys::catalog && value && version > catalog_version_) {
      types_ = storage::decode_catalog(*value);
      catalog_version_ = version;
    }
  } catch (const protocol::DecodeError& problem) {
    spdlog::error("record ignored key={} why=\"{}\"", key, problem.what());
  }
}

void SharedStateCache::apply_job(const std::string& id, const std::optional<Json>& value,
                                 std::uint64_t version) {
  const auto known = jobs_.find(id);
  if (known != jobs_.end() && version <= known->second.version) return;
  if (value) {
    // A record read long ago must not bring back a job that is over.
    if (final_states_.contains(id)) return;
    CachedJob job{storage::decode_job(*value), version};
    // A cancellation is for good: an older record that comes after a sibling told of it, or in the
    // listing after a gap, must not undo it.
    if (cancelled_.contains(id)) job.record.cancelled = true;
    if (job.record.cancelled) cancelled_.insert(id);
    jobs_[id] = std::move(job);
  } else if (known != jobs_.end()) {
    jobs_.erase(known);
  } else {
    return;
  }
  if (on_job_) on_job_(id);
}

void SharedStateCache::apply_cancellation(const std::string& id) {
  if (final_states_.contains(id) || !cancelled_.insert(id).second) return;
  const auto known = jobs_.find(id);
  if (known == jobs_.end()) return;
  known->second.record.cancelled = true;
  if (on_job_) on_job_(id);
}

}  // namespace poppystile::coordination
