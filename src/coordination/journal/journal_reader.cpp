#include "coordination/journal/journal_reader.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "constants.hpp"
#include "storage/journal_replay.hpp"

namespace poppystile::coordination {

namespace keys = storage::keys;

namespace {

void add_versions(KeyVersions& versions, const protocol::EntryPage& page) {
  for (const auto& entry : page.entries) versions[entry.key] = entry.version;
}

// Throws DecodeError if the journal cannot be decoded.
LoadedJournal decode_journal(const protocol::EntryPage& page) {
  storage::JournalReplay replay;
  for (const auto& entry : page.entries) replay.add(entry.key, entry.value);
  LoadedJournal journal;
  journal.state = replay.replay();
  journal.is_empty = replay.empty();
  if (!journal.is_empty) {
    journal.head = replay.head();
    journal.next_segment = std::max(replay.last_segment() + 1, journal.head.first_segment);
  }
  add_versions(journal.versions, page);
  return journal;
}

}  // namespace

JournalReader::JournalReader(transport::Runtime& runtime, KeyValueClient& key_value_client)
    : runtime_(runtime), key_value_client_(key_value_client) {}

void JournalReader::load(const Callback& done) {
  cancel();
  list(done);
}

void JournalReader::list(const Callback& done) {
  key_value_client_.list_all(
      keys::journal, RequestPriority::journal,
      scope_.wrap([this, done](CallStatus status, const protocol::EntryPage& page) {
        if (status != CallStatus::ok) return retry(done);
        on_listed(page, done);
      }));
}

void JournalReader::retry(const Callback& done) {
  runtime_.after(constants::state_retry_pause, scope_.wrap([this, done] { list(done); }));
}

void JournalReader::on_listed(const protocol::EntryPage& page, const Callback& done) {
  LoadedJournal journal;
  try {
    journal = decode_journal(page);
  } catch (const protocol::DecodeError& problem) {
    spdlog::error("journal unreadable why=\"{}\"", problem.what());
    UnreadableJournal unreadable;
    add_versions(unreadable.versions, page);
    return done(tl::unexpected(std::move(unreadable)));
  }
  if (journal.is_empty) return check_for_legacy_records(std::move(journal), done);
  done(std::move(journal));
}

void JournalReader::check_for_legacy_records(LoadedJournal journal, const Callback& done) {
  key_value_client_.list_all(
      keys::legacy_machines, RequestPriority::journal,
      scope_.wrap([this, journal = std::move(journal), done](
                      CallStatus status, const protocol::EntryPage& page) mutable {
        if (status != CallStatus::ok) return retry(done);
        if (page.entries.empty()) return done(std::move(journal));
        spdlog::error(
            "journal unreadable, found placement records in the legacy storage format records={}",
            page.entries.size());
        UnreadableJournal unreadable{std::move(journal.versions)};
        add_versions(unreadable.versions, page);
        done(tl::unexpected(std::move(unreadable)));
      }));
}

}  // namespace poppystile::coordination
