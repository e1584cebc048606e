/// \file
/// Loads the journal that former leaders wrote to the state service.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <tl/expected.hpp>
#include <unordered_map>

#include "coordination/state/key_value_client.hpp"
#include "coordination/term_scope.hpp"
#include "storage/journal_records.hpp"
#include "storage/replayed_state.hpp"
#include "transport/event_loop.hpp"

namespace poppystile::coordination {

/// Versions of keys in the state service.
using KeyVersions = std::unordered_map<std::string, std::uint64_t>;

/// A journal that was read completely.
struct LoadedJournal {
  storage::ReplayedState state;
  storage::JournalHead head;
  std::uint64_t next_segment = 1;  // Number of the first segment that is not written yet.
  bool is_empty = true;            // There is neither a snapshot nor a segment.
  KeyVersions versions;            // Versions of all keys of the journal.
};

/// A journal that cannot be decoded. It must not be treated as an empty one, since any task may be
/// placed on any machine.
struct UnreadableJournal {
  KeyVersions versions;  // Versions of all keys to delete before a new journal is begun.
};

using LoadResult = tl::expected<LoadedJournal, UnreadableJournal>;

/// Reads the journal, and retries until the state service answers. Only the leader writes the
/// journal, so the pages of a listing are consistent with each other.
class JournalReader {
 public:
  /// Both references must outlive the reader.
  JournalReader(transport::Runtime& runtime, KeyValueClient& key_value_client);

  /// Reads the whole journal and calls `done` once, unless the load is cancelled. Cancels a load
  /// that is still in progress.
  void load(const std::function<void(LoadResult)>& done);

  /// Cancels the load in progress, if any: its callback is not called.
  void cancel() { scope_.end(); }

 private:
  using Callback = std::function<void(LoadResult)>;

  void list(const Callback& done);
  void retry(const Callback& done);
  void on_listed(const protocol::EntryPage& page, const Callback& done);
  void check_for_legacy_records(LoadedJournal journal, const Callback& done);

  transport::Runtime& runtime_;
  KeyValueClient& key_value_client_;
  TermScope scope_;
};

}  // namespace poppystile::coordination
