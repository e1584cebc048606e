/// \file
/// The stored form of journal entries: a JSON list that begins with the letter of the entry's kind.
/// The only place that knows these letters.
#pragma once

#include "storage/journal_entry.hpp"
#include "storage/records.hpp"

namespace poppystile::storage {

/// The stored form; `decode_entry` reads it back.
Json encode(const JournalEntry& entry);

/// Throws `DecodeError` for an entry of an unknown kind, a missing element or one that is out of
/// range.
JournalEntry decode_entry(const Json& value);

}  // namespace poppystile::storage
