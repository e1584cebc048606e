#include "protocol/peer_messages.hpp"

#include <cbor.h>

#include <cstdlib>
#include <memory>

namespace poppystile::protocol {

namespace {

struct Release {
  void operator()(cbor_item_t* item) const {
    if (item != nullptr) cbor_decref(&item);
  }
};
using Item = std::unique_ptr<cbor_item_t, Release>;

constexpr std::size_t status_fields = 13;  // the version, ten values, counts, cancellations
constexpr std::uint64_t version = 4;

void push(cbor_item_t* array, cbor_item_t* value) {
  Item owned(value);
  (void)cbor_array_push(array, value);
}

cbor_item_t* text(const std::string& value) {
  return cbor_build_stringn(value.data(), value.size());
}

// Items of an array by position; any surprise marks the frame as bad.
class Reader {
 public:
  explicit Reader(cbor_item_t* array) : array_(array) {
    good_ = array != nullptr && cbor_isa_array(array) && cbor_array_is_definite(array);
  }
  bool good() const { return good_; }
  std::size_t size() const { return good_ ? cbor_array_size(array_) : 0; }
  std::uint64_t number() {
    Item item = next();
    if (!good_ || !cbor_isa_uint(item.get())) return fail(), 0;
    return cbor_get_int(item.get());
  }
  WallTime time() {
    Item item = next();
    if (!good_ || !cbor_isa_float_ctrl(item.get()) || cbor_float_ctrl_is_ctrl(item.get()))
      return fail(), WallTime{};
    return WallTime{Seconds{cbor_float_get_float(item.get())}};
  }
  std::string words() {
    Item item = next();
    if (!good_ || !cbor_isa_string(item.get()) || !cbor_string_is_definite(item.get()))
      return fail(), "";
    return {reinterpret_cast<const char*>(cbor_string_handle(item.get())),
            cbor_string_length(item.get())};
  }
  Item next() {
    if (!good_ || at_ >= cbor_array_size(array_)) return fail(), nullptr;
    return Item(cbor_array_get(array_, at_++));
  }

 private:
  void fail() { good_ = false; }
  cbor_item_t* array_;
  std::size_t at_ = 0;
  bool good_ = false;
};

// libcbor sets aside room for as many items as an array's head claims before it reads them, so
// one damaged frame could cost gigabytes and many seconds. An array cannot have more items than
// the frame has bytes.
bool plausible(const std::string& frame) {
  struct Claims {
    std::size_t most;
    bool good = true;
  } claims{frame.size()};
  cbor_callbacks callbacks = cbor_empty_callbacks;
  callbacks.array_start = [](void* context, std::size_t size) {
    auto* seen = static_cast<Claims*>(context);
    seen->good = seen->good && size <= seen->most;
  };
  callbacks.map_start = [](void* context, std::size_t) {
    static_cast<Claims*>(context)->good = false;  // a status holds none
  };
  const auto* data = reinterpret_cast<cbor_data>(frame.data());
  for (std::size_t at = 0; at < frame.size();) {
    const auto step = cbor_stream_decode(data + at, frame.size() - at, &callbacks, &claims);
    if (step.status != CBOR_DECODER_FINISHED || step.read == 0 || !claims.good) return false;
    at += step.read;
  }
  return true;
}

}  // namespace

std::string encode_peer_status(const PeerStatus& status) {
  Item root(cbor_new_definite_array(status_fields));
  push(root.get(), cbor_build_uint64(version));
  push(root.get(), text(status.name));
  push(root.get(), cbor_build_uint64(status.incarnation));
  push(root.get(), cbor_build_float8(to_unix_seconds(status.started_at)));
  push(root.get(), cbor_build_uint64(status.token));
  push(root.get(), cbor_build_uint64(status.is_leader ? 1 : 0));
  push(root.get(), cbor_build_float8(to_unix_seconds(status.sent_at)));
  push(root.get(), cbor_build_float8(to_unix_seconds(status.state_contact_at)));
  push(root.get(), cbor_build_float8(to_unix_seconds(status.fresh_as_of_wall)));
  push(root.get(), cbor_build_uint64(status.redirected_heartbeats));
  cbor_item_t* counts = cbor_new_definite_array(status.counts.size() * 3);
  for (const auto& each : status.counts) {
    push(counts, text(each.job));
    push(counts, cbor_build_uint64(each.done));
    push(counts, cbor_build_uint64(each.running));
  }
  push(root.get(), counts);
  cbor_item_t* cancelled = cbor_new_definite_array(status.cancelled.size());
  for (const auto& each : status.cancelled) push(cancelled, text(each));
  push(root.get(), cancelled);
  push(root.get(), cbor_build_uint64(status.all_cancelled ? 1 : 0));
  unsigned char* buffer = nullptr;
  std::size_t capacity = 0;
  const std::size_t size = cbor_serialize_alloc(root.get(), &buffer, &capacity);
  std::unique_ptr<unsigned char, decltype(&std::free)> owned(buffer, &std::free);
  return {reinterpret_cast<const char*>(buffer), size};
}

std::optional<PeerStatus> decode_peer_status(const std::string& frame) {
  if (!plausible(frame)) return std::nullopt;
  cbor_load_result result{};
  Item root(cbor_load(reinterpret_cast<cbor_data>(frame.data()), frame.size(), &result));
  Reader reader(root.get());
  if (!reader.good() || reader.size() != status_fields || reader.number() != version)
    return std::nullopt;
  PeerStatus out;
  out.name = reader.words();
  out.incarnation = reader.number();
  out.started_at = reader.time();
  out.token = reader.number();
  out.is_leader = reader.number() == 1;
  out.sent_at = reader.time();
  out.state_contact_at = reader.time();
  out.fresh_as_of_wall = reader.time();
  out.redirected_heartbeats = reader.number();
  Item list = reader.next();
  Reader counts(list.get());
  if (!reader.good() || !counts.good() || counts.size() % 3 != 0) return std::nullopt;
  for (std::size_t i = 0; i < counts.size(); i += 3) {
    JobCounts each{counts.words(), 0, 0};
    each.done = counts.number();
    each.running = counts.number();
    if (!counts.good()) return std::nullopt;
    out.counts.push_back(std::move(each));
  }
  Item cancelled = reader.next();
  Reader ids(cancelled.get());
  if (!reader.good() || !ids.good()) return std::nullopt;
  for (std::size_t i = 0; i < ids.size(); ++i) out.cancelled.push_back(ids.words());
  out.all_cancelled = reader.number() == 1;
  if (!ids.good() || !reader.good()) return std::nullopt;
  return out;
}

}  // namespace poppystile::protocol
