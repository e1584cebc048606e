/// \file
/// Loads the journal that former leaders left in the state service.
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

/// A journal that was read whole.
struct LoadedJournal {
  storage::ReplayedState state;
  storage::JournalHead head;
  std::uint64_t next_segment = 1;  // number of the first segment that is not written yet
  bool is_empty = true;            // no leader has written anything yet
  KeyVersions versions;            // of all its keys
};

/// A journal that was not understood. Never to be taken for an empty one: anything may be placed
/// anywhere.
struct UnreadableJournal {
  KeyVersions versions;  // of all keys that are to be removed before a new journal begins
};

using LoadResult = tl::expected<LoadedJournal, UnreadableJournal>;

/// Reads the journal, and tries again for as long as the state service does not answer. Only the
/// leader writes the journal, so the pages of a listing fit together.
class JournalReader {
 public:
  JournalReader(transport::Runtime& runtime, KeyValueClient& key_value_client);

  /// Reads everything and calls `done` once. A load that is still under way is cancelled.
  void load(const std::function<void(LoadResult)>& done);

  /// The callback of a load that is still under way will not be called.
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
