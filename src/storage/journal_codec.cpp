#include "storage/journal_codec.hpp"

#include <array>
#include <charconv>
#include <string_view>

#include "constants.hpp"

namespace poppystile::storage {

using protocol::as_amount;
using protocol::as_count;
using protocol::as_flag;
using protocol::as_text;
using protocol::DecodeError;

namespace {

// The first element of each stored entry: the letter of its kind.
constexpr const char* machine_registered_letter = "m";
constexpr const char* incarnation_started_letter = "s";
constexpr const char* machine_removed_letter = "g";
constexpr const char* image_cached_letter = "i";
constexpr const char* task_placed_letter = "p";
constexpr const char* placement_ended_letter = "e";
constexpr const char* task_finished_letter = "d";
constexpr const char* finished_bitmap_letter = "b";
constexpr const char* rental_requested_letter = "h";
constexpr const char* rental_settled_letter = "x";

// Tasks per hex digit of a bitmap; the lowest bit stands for the first task.
constexpr std::size_t bits_per_digit = 4;

// --- parts of entries ---

const Json& element_at(const Json& entry, std::size_t position) {
  if (position >= entry.size()) throw DecodeError("journal entry is too short");
  return entry[position];
}

std::string text_at(const Json& entry, std::size_t position) {
  return as_text(element_at(entry, position), "element of a journal entry");
}

std::uint64_t count_at(const Json& entry, std::size_t position) {
  return as_count(element_at(entry, position), "element of a journal entry");
}

// Decodes a stored range such as ["n-1",3,7] or [3,7]. `position` is that of its first index.
IndexRange range_at(const Json& stored_range, std::size_t position) {
  if (!stored_range.is_array() || stored_range.size() != position + 2)
    throw DecodeError("journal entry has a malformed index range");
  const auto first = as_count(stored_range[position], "first index of a range in a journal entry");
  const auto last =
      as_count(stored_range[position + 1], "last index of a range in a journal entry");
  if (last < first || last >= constants::max_tasks)
    throw DecodeError(
        "journal entry has an index range that is reversed or exceeds the task limit");
  return {static_cast<std::uint32_t>(first), static_cast<std::uint32_t>(last)};
}

std::vector<IndexRange> ranges_from(const Json& entry, std::size_t position) {
  std::vector<IndexRange> result;
  for (; position < entry.size(); ++position) result.push_back(range_at(entry[position], 0));
  return result;
}

Json with_ranges(Json entry, const std::vector<IndexRange>& ranges) {
  for (const IndexRange& each : ranges) entry.push_back(Json::array({each.first, each.last}));
  return entry;
}

std::string to_hex(const std::vector<bool>& bits) {
  constexpr const char* digits = "0123456789abcdef";
  std::string text((bits.size() + bits_per_digit - 1) / bits_per_digit, '0');
  for (std::size_t i = 0; i < text.size(); ++i) {
    int nibble = 0;
    for (std::size_t b = 0; b < bits_per_digit && i * bits_per_digit + b < bits.size(); ++b)
      if (bits[i * bits_per_digit + b]) nibble |= 1 << b;
    text[i] = digits[nibble];
  }
  return text;
}

std::vector<bool> from_hex(const std::string& text) {
  std::vector<bool> result(text.size() * bits_per_digit);
  for (std::size_t i = 0; i < text.size(); ++i) {
    unsigned nibble = 0;
    const auto [stop, error] = std::from_chars(&text[i], &text[i] + 1, nibble, 16);
    if (error != std::errc{}) throw DecodeError("bitmap in the journal is not hexadecimal");
    for (std::size_t b = 0; b < bits_per_digit; ++b)
      result[i * bits_per_digit + b] = ((nibble >> b) & 1) != 0;
  }
  return result;
}

// --- encoding ---

Json encode_entry(const MachineRegistered& entry) {
  return Json::array({machine_registered_letter, entry.machine, entry.type, entry.zone, entry.spot,
                      entry.incarnation, to_unix_seconds(entry.rented_at)});
}

Json encode_entry(const IncarnationStarted& entry) {
  return Json::array({incarnation_started_letter, entry.machine, entry.incarnation});
}

Json encode_entry(const MachineRemoved& entry) {
  return Json::array({machine_removed_letter, entry.machine});
}

Json encode_entry(const ImageCached& entry) {
  return Json::array({image_cached_letter, entry.machine, entry.image.name, entry.image.gb});
}

Json encode_entry(const TaskPlaced& entry) {
  Json result = Json::array({task_placed_letter, entry.job, entry.attempt});
  for (const MachineRange& each : entry.placed)
    result.push_back(Json::array({each.machine, each.indices.first, each.indices.last}));
  return result;
}

Json encode_entry(const PlacementEnded& entry) {
  return with_ranges(Json::array({placement_ended_letter, entry.job}), entry.tasks);
}

Json encode_entry(const TaskFinished& entry) {
  return with_ranges(Json::array({task_finished_letter, entry.job}), entry.tasks);
}

Json encode_entry(const FinishedBitmap& entry) {
  return Json::array({finished_bitmap_letter, entry.job, entry.first, to_hex(entry.bits)});
}

Json encode_entry(const RentalRequested& entry) {
  return Json::array({rental_requested_letter, entry.name, entry.rental.type, entry.rental.zone,
                      entry.rental.spot, static_cast<unsigned>(entry.rental.count)});
}

Json encode_entry(const RentalSettled& entry) {
  return Json::array({rental_settled_letter, entry.name});
}

// --- decoding ---

JournalEntry decode_machine_registered(const Json& entry) {
  return MachineRegistered{
      text_at(entry, 1),
      text_at(entry, 2),
      text_at(entry, 3),
      as_flag(element_at(entry, 4), "element of a journal entry"),
      count_at(entry, 5),
      WallTime{Seconds{as_amount(element_at(entry, 6), "element of a journal entry")}}};
}

JournalEntry decode_incarnation_started(const Json& entry) {
  return IncarnationStarted{text_at(entry, 1), count_at(entry, 2)};
}

JournalEntry decode_machine_removed(const Json& entry) { return MachineRemoved{text_at(entry, 1)}; }

JournalEntry decode_image_cached(const Json& entry) {
  return ImageCached{
      text_at(entry, 1),
      {text_at(entry, 2), as_amount(element_at(entry, 3), "element of a journal entry")}};
}

JournalEntry decode_task_placed(const Json& entry) {
  TaskPlaced result{text_at(entry, 1), count_at(entry, 2), {}};
  element_at(entry, 3);  // Throws when there is no range.
  for (std::size_t i = 3; i < entry.size(); ++i) {
    const IndexRange range = range_at(entry[i], 1);
    result.placed.push_back({text_at(entry[i], 0), range});
  }
  return result;
}

JournalEntry decode_placement_ended(const Json& entry) {
  return PlacementEnded{text_at(entry, 1), ranges_from(entry, 2)};
}

JournalEntry decode_task_finished(const Json& entry) {
  return TaskFinished{text_at(entry, 1), ranges_from(entry, 2)};
}

JournalEntry decode_finished_bitmap(const Json& entry) {
  FinishedBitmap result{text_at(entry, 1), count_at(entry, 2), from_hex(text_at(entry, 3))};
  // The last digit may contain unused bits.
  if (result.first + result.bits.size() > constants::max_tasks + bits_per_digit)
    throw DecodeError("bitmap in the journal exceeds the task limit");
  return result;
}

JournalEntry decode_rental_requested(const Json& entry) {
  return RentalRequested{text_at(entry, 1),
                         {text_at(entry, 2), text_at(entry, 3),
                          as_flag(element_at(entry, 4), "element of a journal entry"),
                          static_cast<int>(count_at(entry, 5))}};
}

JournalEntry decode_rental_settled(const Json& entry) { return RentalSettled{text_at(entry, 1)}; }

struct Decoder {
  std::string_view letter;
  JournalEntry (*decode)(const Json& entry);
};

constexpr std::array<Decoder, std::variant_size_v<JournalEntry>> decoders = {{
    {machine_registered_letter, decode_machine_registered},
    {incarnation_started_letter, decode_incarnation_started},
    {machine_removed_letter, decode_machine_removed},
    {image_cached_letter, decode_image_cached},
    {task_placed_letter, decode_task_placed},
    {placement_ended_letter, decode_placement_ended},
    {task_finished_letter, decode_task_finished},
    {finished_bitmap_letter, decode_finished_bitmap},
    {rental_requested_letter, decode_rental_requested},
    {rental_settled_letter, decode_rental_settled},
}};

}  // namespace

Json encode(const JournalEntry& entry) {
  return std::visit([](const auto& each) { return encode_entry(each); }, entry);
}

JournalEntry decode_entry(const Json& value) {
  if (!value.is_array()) throw DecodeError("journal entry is not a list");
  const std::string letter = text_at(value, 0);
  for (const Decoder& each : decoders)
    if (each.letter == letter) return each.decode(value);
  throw DecodeError("journal entry has an unknown kind");
}

}  // namespace poppystile::storage
