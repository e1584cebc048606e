#include "protocol/peer_messages.hpp"

#include <utility>

#include "protocol/cbor_array.hpp"

namespace poppystile::protocol {

namespace {

// Version of the status format; frames of any other version are rejected.
constexpr std::uint64_t version = 4;
// Top-level items of a status: the version, ten single values, the list of job counts and the list
// of cancelled jobs.
constexpr std::size_t status_fields = 13;
// Items per job in the flat list of job counts: the job id and two counts.
constexpr std::size_t fields_per_count = 3;

CborArrayWriter encode_counts(const std::vector<JobCounts>& counts) {
  CborArrayWriter out(counts.size() * fields_per_count);
  for (const auto& item : counts) {
    out.add(item.job);
    out.add(item.done);
    out.add(item.running);
  }
  return out;
}

CborArrayWriter encode_ids(const std::vector<std::string>& ids) {
  CborArrayWriter out(ids.size());
  for (const auto& item : ids) out.add(item);
  return out;
}

WallTime read_time(CborArrayReader& reader) { return WallTime{Seconds{reader.read_double()}}; }

/// Appends the job counts to `out`; false if the array contains anything else.
bool read_counts(CborArrayReader reader, std::vector<JobCounts>& out) {
  if (!reader.ok() || reader.size() % fields_per_count != 0) return false;
  const std::size_t count = reader.size() / fields_per_count;
  for (std::size_t i = 0; i < count && reader.ok(); ++i) {
    JobCounts item;
    item.job = reader.read_text();
    item.done = reader.read_number();
    item.running = reader.read_number();
    out.push_back(std::move(item));
  }
  return reader.ok();
}

/// Appends the ids to `out`; false if the array contains anything but texts.
bool read_ids(CborArrayReader reader, std::vector<std::string>& out) {
  const std::size_t count = reader.size();
  for (std::size_t i = 0; i < count && reader.ok(); ++i) out.push_back(reader.read_text());
  return reader.ok();
}

}  // namespace

std::string encode_peer_status(const PeerStatus& status) {
  CborArrayWriter out(status_fields);
  out.add(version);
  out.add(status.name);
  out.add(status.incarnation);
  out.add(to_unix_seconds(status.started_at));
  out.add(status.token);
  out.add_flag(status.is_leader);
  out.add(to_unix_seconds(status.sent_at));
  out.add(to_unix_seconds(status.state_contact_at));
  out.add(to_unix_seconds(status.fresh_as_of_wall));
  out.add(status.redirected_heartbeats);
  out.add(encode_counts(status.counts));
  out.add(encode_ids(status.cancelled));
  out.add_flag(status.cancelled_is_complete);
  return out.serialize();
}

std::optional<PeerStatus> decode_peer_status(const std::string& frame) {
  CborArrayReader reader(decode_cbor(frame));
  if (reader.size() != status_fields || reader.read_number() != version) return std::nullopt;
  PeerStatus out;
  out.name = reader.read_text();
  out.incarnation = reader.read_number();
  out.started_at = read_time(reader);
  out.token = reader.read_number();
  out.is_leader = reader.read_flag();
  out.sent_at = read_time(reader);
  out.state_contact_at = read_time(reader);
  out.fresh_as_of_wall = read_time(reader);
  out.redirected_heartbeats = reader.read_number();
  const bool has_counts = read_counts(reader.read_array(), out.counts);
  const bool has_cancelled = read_ids(reader.read_array(), out.cancelled);
  out.cancelled_is_complete = reader.read_flag();
  if (!has_counts || !has_cancelled || !reader.ok()) return std::nullopt;
  return out;
}

}  // namespace poppystile::protocol
