#include "storage/journal.hpp"

#include <algorithm>
#include <charconv>

#include "constants.hpp"

namespace poppystile::storage {

using protocol::as_amount;
using protocol::as_count;
using protocol::as_flag;
using protocol::as_text;
using protocol::DecodeError;
using protocol::need_count;
using protocol::need_list;

namespace {

// The form of the journal. The first version's records had none of it and other keys.
constexpr std::uint64_t form = 2;

// One letter an entry, as its first element.
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

const Json& at(const Json& entry, std::size_t position) {
  if (position >= entry.size()) throw DecodeError("journal entry is too short");
  return entry[position];
}

std::string text_at(const Json& entry, std::size_t position) {
  return as_text(at(entry, position), "entry");
}

std::uint64_t count_at(const Json& entry, std::size_t position) {
  return as_count(at(entry, position), "entry");
}

struct Run {
  std::uint32_t first = 0;
  std::uint32_t last = 0;
};

// `position`: of the first index in a run such as ["n-1",3,7] or [3,7].
Run run_at(const Json& run, std::size_t position) {
  if (!run.is_array() || run.size() != position + 2) throw DecodeError("run is malformed");
  const auto first = as_count(run[position], "run");
  const auto last = as_count(run[position + 1], "run");
  if (last < first || last >= constants::max_tasks) throw DecodeError("run out of range");
  return {static_cast<std::uint32_t>(first), static_cast<std::uint32_t>(last)};
}

// Whether the runs after `head` elements may grow by one that starts at `next`.
bool extend(Json& last, const Json& next_run, std::size_t position) {
  Json& run = last.back();
  for (std::size_t i = 0; i < position; ++i)
    if (run[i] != next_run[i]) return false;
  if (run[position + 1].get<std::uint64_t>() + 1 != next_run[position].get<std::uint64_t>())
    return false;
  run[position + 1] = next_run[position + 1];
  return true;
}

std::string to_hex(const std::vector<bool>& bits) {
  constexpr const char* digits = "0123456789abcdef";
  std::string text((bits.size() + 3) / 4, '0');
  for (std::size_t i = 0; i < text.size(); ++i) {
    int nibble = 0;
    for (std::size_t b = 0; b < 4 && i * 4 + b < bits.size(); ++b)
      if (bits[i * 4 + b]) nibble |= 1 << b;
    text[i] = digits[nibble];
  }
  return text;
}

std::vector<bool> from_hex(const std::string& text) {
  std::vector<bool> out(text.size() * 4);
  for (std::size_t i = 0; i < text.size(); ++i) {
    unsigned nibble = 0;
    const auto [stop, error] = std::from_chars(&text[i], &text[i] + 1, nibble, 16);
    if (error != std::errc{}) throw DecodeError("bitmap is malformed");
    for (std::size_t b = 0; b < 4; ++b) out[i * 4 + b] = ((nibble >> b) & 1) != 0;
  }
  return out;
}

void check_form(const Json& value) {
  if (!value.is_object()) throw DecodeError("record is not an object");
  if (need_count(value, "v") != form) throw DecodeError("record of an unknown form");
}

}  // namespace

// --- entries ---

Json machine_registered_entry(const std::string& machine, const std::string& type,
                              const std::string& zone, bool spot, std::uint64_t incarnation,
                              WallTime rented_at) {
  return Json::array({machine_registered_letter, machine, type, zone, spot, incarnation,
                      to_unix_seconds(rented_at)});
}

Json incarnation_started_entry(const std::string& machine, std::uint64_t incarnation) {
  return Json::array({incarnation_started_letter, machine, incarnation});
}

Json machine_removed_entry(const std::string& machine) {
  return Json::array({machine_removed_letter, machine});
}

Json image_cached_entry(const std::string& machine, const CachedImage& image) {
  return Json::array({image_cached_letter, machine, image.name, image.gb});
}

Json task_placed_entry(const std::string& job, std::uint64_t attempt, const std::string& machine,
                       std::uint32_t index) {
  return Json::array({task_placed_letter, job, attempt, Json::array({machine, index, index})});
}

Json placement_ended_entry(const std::string& job, std::uint32_t index) {
  return Json::array({placement_ended_letter, job, Json::array({index, index})});
}

Json task_finished_entry(const std::string& job, std::uint32_t index) {
  return Json::array({task_finished_letter, job, Json::array({index, index})});
}

Json finished_bitmap_entry(const std::string& job, std::uint32_t first,
                           const std::vector<bool>& bits) {
  return Json::array({finished_bitmap_letter, job, first, to_hex(bits)});
}

Json rental_requested_entry(const std::string& name, const RentalRecord& record) {
  return Json::array({rental_requested_letter, name, record.type, record.zone, record.spot,
                      static_cast<unsigned>(record.count)});
}

Json rental_settled_entry(const std::string& name) {
  return Json::array({rental_settled_letter, name});
}

bool merge_entries(Json& last, const Json& next, std::size_t max_runs) {
  const std::string word = last[0].get<std::string>();
  if (last[0] != next[0] || last[1] != next[1]) return false;
  const bool places = word == task_placed_letter;
  if (!places && word != placement_ended_letter && word != task_finished_letter) return false;
  if (places && last[2] != next[2]) return false;
  // Kept short, so that a record can always be cut between two entries.
  if (last.size() >= max_runs) return false;
  if (!extend(last, next.back(), places ? 1 : 0)) last.push_back(next.back());
  return true;
}

// --- ledger ---

void ReplayedState::apply(const Json& entry) {
  if (!entry.is_array()) throw DecodeError("journal entry is not a list");
  const std::string word = text_at(entry, 0);
  const std::string name = text_at(entry, 1);
  if (word == machine_registered_letter) {
    ReplayedMachine& machine = machines[name];
    machine.type = text_at(entry, 2);
    machine.zone = text_at(entry, 3);
    machine.spot = as_flag(at(entry, 4), "entry");
    machine.incarnation = std::max(machine.incarnation, count_at(entry, 5));
    machine.rented_at = WallTime{Seconds{as_amount(at(entry, 6), "entry")}};
  } else if (word == incarnation_started_letter) {
    ReplayedMachine& machine = machines[name];
    machine.incarnation = std::max(machine.incarnation, count_at(entry, 2));
    empty_machine(machine);
  } else if (word == machine_removed_letter) {
    empty_machine(machines[name]);
    machines.erase(name);
  } else if (word == image_cached_letter) {
    auto& images = machines[name].images;
    const std::string image = text_at(entry, 2);
    std::erase_if(images, [&](const CachedImage& each) { return each.name == image; });
    images.push_back({image, as_amount(at(entry, 3), "entry")});
  } else if (word == task_placed_letter) {
    const std::uint64_t attempt = count_at(entry, 2);
    at(entry, 3);  // one run at least
    ReplayedJob& job = jobs[name];
    for (std::size_t i = 3; i < entry.size(); ++i) {
      const Run run = run_at(entry[i], 1);
      const std::string machine = text_at(entry[i], 0);
      for (std::uint32_t index = run.first; index <= run.last; ++index) {
        remove_placement(name, index);
        if (job.is_finished(index)) continue;
        job.placed[index] = {machine, attempt};
        machines[machine].tasks.emplace(name, index);
      }
    }
  } else if (word == placement_ended_letter || word == task_finished_letter) {
    ReplayedJob& job = jobs[name];
    for (std::size_t i = 2; i < entry.size(); ++i) {
      const Run run = run_at(entry[i], 0);
      if (word == task_finished_letter && run.last >= job.finished.size())
        job.finished.resize(run.last + 1);
      for (std::uint32_t index = run.first; index <= run.last; ++index) {
        remove_placement(name, index);
        if (word == task_finished_letter) job.finished[index] = true;
      }
    }
  } else if (word == finished_bitmap_letter) {
    ReplayedJob& job = jobs[name];
    const auto first = count_at(entry, 2);
    const auto bits = from_hex(text_at(entry, 3));
    if (first + bits.size() > constants::max_tasks + 4) throw DecodeError("bitmap out of range");
    if (job.finished.size() < first + bits.size()) job.finished.resize(first + bits.size());
    for (std::size_t i = 0; i < bits.size(); ++i)
      if (bits[i]) job.finished[first + i] = true;
  } else if (word == rental_requested_letter) {
    rentals[name] = {text_at(entry, 2), text_at(entry, 3), as_flag(at(entry, 4), "entry"),
                     static_cast<int>(count_at(entry, 5))};
  } else if (word == rental_settled_letter) {
    rentals.erase(name);
  } else {
    throw DecodeError("journal entry of an unknown kind");
  }
}

void ReplayedState::empty_machine(ReplayedMachine& machine) {
  for (const auto& [job, index] : machine.tasks) jobs[job].placed.erase(index);
  machine.tasks.clear();
}

void ReplayedState::remove_placement(const std::string& job, std::uint32_t index) {
  auto& placed = jobs[job].placed;
  const auto found = placed.find(index);
  if (found == placed.end()) return;
  const auto machine = machines.find(found->second.machine);
  if (machine != machines.end()) machine->second.tasks.erase({job, index});
  placed.erase(found);
}

// --- records ---

std::string segment_key(std::uint64_t slot) {
  return keys::journal + "log/" + std::to_string(slot);
}

// Two areas take turns, so that a snapshot under way never touches the one that counts.
std::string snapshot_key(std::uint64_t generation, std::uint64_t part) {
  return keys::journal + "snap/" + std::to_string(generation % 2) + "/" + std::to_string(part);
}

std::string encode_chunk(std::uint64_t number, std::uint64_t token,
                         const std::vector<std::string>& entries) {
  // The entries are valid JSON texts already; only the list around them is written here.
  const std::string frame = Json{{"v", form}, {"n", number}, {"t", token}}.dump();
  std::string out = frame.substr(0, frame.size() - 1) + ",\"e\":[";
  for (std::size_t i = 0; i < entries.size(); ++i) {
    if (i > 0) out += ',';
    out += entries[i];
  }
  return out + "]}";
}

JournalChunk decode_chunk(const Json& value) {
  check_form(value);
  JournalChunk out{need_count(value, "n"), need_count(value, "t"), {}};
  for (const Json& each : need_list(value, "e")) out.entries.push_back(each);
  return out;
}

Json encode(const JournalHead& head) {
  return {{"v", form}, {"gen", head.generation}, {"parts", head.parts}, {"from", head.from}};
}

JournalHead decode_head(const Json& value) {
  check_form(value);
  return {need_count(value, "gen"), need_count(value, "parts"), need_count(value, "from")};
}

// --- reading ---

void JournalReplay::add(const std::string& key, const Json& value) {
  if (key == keys::journal_head) {
    head_ = decode_head(value);
  } else if (key.starts_with(keys::journal + "log/")) {
    auto part = decode_chunk(value);
    segments_[part.number] = std::move(part.entries);
  } else if (key.starts_with(keys::journal + "snap/")) {
    const auto slash = key.rfind('/');
    std::uint64_t number = 0;
    const char* end = key.data() + key.size();
    if (std::from_chars(key.data() + slash + 1, end, number).ptr != end)
      throw DecodeError("snapshot key is malformed");
    auto part = decode_chunk(value);
    snapshots_[{part.number, number}] = std::move(part.entries);
  } else {
    throw DecodeError("unknown record in the journal");
  }
}

ReplayedState JournalReplay::replay() const {
  ReplayedState out;
  if (empty()) return out;
  for (std::uint64_t part = 0; part < head_.parts; ++part) {
    const auto found = snapshots_.find({head_.generation, part});
    if (found == snapshots_.end()) throw DecodeError("part of the snapshot is missing");
    for (const Json& entry : found->second) out.apply(entry);
  }
  std::uint64_t expected = head_.from;
  for (auto it = segments_.lower_bound(head_.from); it != segments_.end(); ++it, ++expected) {
    if (it->first != expected) throw DecodeError("segment of the journal is missing");
    for (const Json& entry : it->second) out.apply(entry);
  }
  return out;
}

}  // namespace poppystile::storage
