/// \file
/// The stored form of journal entries: a JSON list that begins with the letter of the entry's kind.
/// The letters are used only in journal_codec.cpp.
#pragma once

#include "storage/journal_entry.hpp"
#include "storage/records.hpp"

namespace poppystile::storage {

/// Returns the stored form of an entry, as read by `decode_entry`.
Json encode(const JournalEntry& entry);

/// Throws `DecodeError` if the entry is of an unknown kind, or an element is missing, of the wrong
/// type or out of range.
JournalEntry decode_entry(const Json& value);

}  // namespace poppystile::storage
