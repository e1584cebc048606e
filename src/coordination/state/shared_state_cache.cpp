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
  const auto found = jobs_.find(id);
  return found == jobs_.end() ? nullptr : &found->second;
}

std::optional<protocol::JobState> SharedStateCache::final_state(const std::string& id) const {
  const auto found = final_states_.find(id);
  if (found == final_states_.end()) return std::nullopt;
  return found->second;
}

SteadyTime SharedStateCache::known_since(const std::string& id) const {
  return time_of(known_since_, id);
}

SteadyTime SharedStateCache::terminal_since(const std::string& id) const {
  return time_of(terminal_since_, id);
}

// An event that is not recorded was in the first listing, or is too old to be remembered.
SteadyTime SharedStateCache::time_of(const RecentEvents& events, const std::string& id) const {
  return events.find(id).value_or(loaded_ ? loaded_at_ : runtime_.now());
}

// --- listing and watch ---

void SharedStateCache::load() {
  const SteadyTime sent_at = runtime_.now();
  const WallTime sent_at_wall = runtime_.wall_now();
  key_value_client_.list_all(
      keys::shared, RequestPriority::user,
      [this, sent_at, sent_at_wall](CallStatus status, const protocol::EntryPage& listing) {
        if (status != CallStatus::ok) {
          runtime_.after(constants::state_retry_pause, [this] { load(); });
          return;
        }
        apply_listing(listing);
        if (!std::exchange(loaded_, true)) {
          loaded_at_ = runtime_.now();
          spdlog::info("shared state loaded jobs={} final_records={}", jobs_.size(),
                       final_states_.size());
        }
        revision_ = std::max(revision_, listing.revision);
        update_freshness(sent_at, sent_at_wall);
        if (on_leader_) on_leader_();
        watch_changes(listing.revision);
      });
}

// Jobs and a leader key that are cached but not listed were deleted during a gap in the watch.
void SharedStateCache::apply_listing(const protocol::EntryPage& listing) {
  std::set<std::string> listed_keys;
  for (const auto& entry : listing.entries) listed_keys.insert(entry.key);
  std::vector<std::string> deleted_jobs;
  for (const auto& [id, job] : jobs_)
    if (!listed_keys.contains(storage::job_key(id)) && job.version <= listing.revision)
      deleted_jobs.push_back(id);
  for (const auto& entry : listing.entries) apply_response(entry.key, entry.value, entry.version);
  for (const auto& id : deleted_jobs) apply_job(id, std::nullopt, listing.revision);
  if (!listed_keys.contains(keys::leader))
    apply_response(keys::leader, std::nullopt, listing.revision);
}

void SharedStateCache::watch_changes(std::uint64_t after) {
  const SteadyTime sent_at = runtime_.now();
  const WallTime sent_at_wall = runtime_.wall_now();
  key_value_client_.watch(
      keys::shared, after,
      [this, after, sent_at, sent_at_wall](CallStatus status, const protocol::WatchPage& page) {
        if (status == CallStatus::conflict) return load();
        if (status != CallStatus::ok) {
          runtime_.after(constants::state_retry_pause, [this, after] { watch_changes(after); });
          return;
        }
        for (const auto& event : page.events) apply_response(event.key, event.value, event.version);
        revision_ = std::max(revision_, page.revision);
        update_freshness(sent_at, sent_at_wall);
        watch_changes(std::max(after, page.revision));
      });
}

void SharedStateCache::update_freshness(SteadyTime as_of, WallTime as_of_wall) {
  fresh_as_of_ = std::max(fresh_as_of_, as_of);
  fresh_as_of_wall_ = std::max(fresh_as_of_wall_, as_of_wall);
}

// --- records ---

void SharedStateCache::apply_response(const std::string& key, const std::optional<Json>& value,
                                      std::uint64_t version) {
  try {
    if (key.starts_with(keys::jobs)) {
      apply_job(key.substr(keys::jobs.size()), value, version);
    } else if (key.starts_with(keys::final_records)) {
      apply_final_state(key.substr(keys::final_records.size()), value);
    } else if (key == keys::leader) {
      apply_leader(value, version);
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
  const auto cached = jobs_.find(id);
  if (cached != jobs_.end() && version <= cached->second.version) return;
  if (value) {
    // A delayed response with an old record must not add a job again that has a final state.
    if (final_states_.contains(id)) return;
    CachedJob job{storage::decode_job(*value), version};
    // A cancellation is permanent. An older record must not undo it: one can arrive after a peer
    // has advertised the cancellation, or in the listing after a gap in the watch.
    if (cancelled_.contains(id)) job.record.cancelled = true;
    if (job.record.cancelled && cancelled_.insert(id).second) record(terminal_since_, id);
    if (cached == jobs_.end()) record(known_since_, id);
    jobs_[id] = std::move(job);
  } else if (cached != jobs_.end()) {
    jobs_.erase(cached);
  } else {
    return;
  }
  if (on_job_) on_job_(id);
}

// Final states are never changed or deleted, so their versions need not be compared.
void SharedStateCache::apply_final_state(const std::string& id, const std::optional<Json>& value) {
  if (value) set_final_state(id, storage::decode_final_state(*value));
}

void SharedStateCache::apply_completion(const std::string& id) {
  set_final_state(id, protocol::JobState::done);
}

void SharedStateCache::set_final_state(const std::string& id, protocol::JobState state) {
  const bool is_new = final_states_.emplace(id, state).second;
  const bool was_cancelled = cancelled_.erase(id) > 0;
  if (is_new && !was_cancelled) record(terminal_since_, id);
}

// Events of the first listing have the time at which it was loaded, and may be very many.
void SharedStateCache::record(RecentEvents& events, const std::string& id) const {
  if (loaded_) events.record(id, runtime_.now());
}

void SharedStateCache::apply_leader(const std::optional<Json>& value, std::uint64_t version) {
  if (version < leader_version_) return;
  leader_version_ = version;
  leader_.reset();
  if (value) leader_ = CachedLeader{storage::decode_leader(*value), version};
  if (loaded_ && on_leader_) on_leader_();
}

void SharedStateCache::apply_cancellation(const std::string& id) {
  if (final_states_.contains(id) || !cancelled_.insert(id).second) return;
  record(terminal_since_, id);
  const auto cached = jobs_.find(id);
  if (cached == jobs_.end()) return;
  cached->second.record.cancelled = true;
  if (on_job_) on_job_(id);
}

}  // namespace poppystile::coordination
