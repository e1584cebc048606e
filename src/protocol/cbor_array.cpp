#include "protocol/cbor_array.hpp"

#include <cstdlib>
#include <utility>

namespace poppystile::protocol {

namespace {

/// The array sizes that the item heads of a frame declare, checked against the frame's size.
struct DeclaredSizes {
  std::size_t max_items = 0;
  bool plausible = true;
};

/// Whether every item of the frame is well-formed, none is a map of definite size, and no array of
/// definite size declares more items than the frame has bytes. Allocates no items.
bool has_plausible_sizes(const std::string& frame) {
  DeclaredSizes declared{frame.size()};
  cbor_callbacks callbacks = cbor_empty_callbacks;
  callbacks.array_start = [](void* context, std::size_t size) {
    auto* sizes = static_cast<DeclaredSizes*>(context);
    sizes->plausible = sizes->plausible && size <= sizes->max_items;
  };
  callbacks.map_start = [](void* context, std::size_t) {
    static_cast<DeclaredSizes*>(context)->plausible = false;
  };
  const auto* data = reinterpret_cast<cbor_data>(frame.data());
  for (std::size_t offset = 0; offset < frame.size();) {
    const auto step =
        cbor_stream_decode(data + offset, frame.size() - offset, &callbacks, &declared);
    if (step.status != CBOR_DECODER_FINISHED || step.read == 0 || !declared.plausible) return false;
    offset += step.read;
  }
  return true;
}

}  // namespace

void CborItemDeleter::operator()(cbor_item_t* item) const {
  if (item != nullptr) cbor_decref(&item);
}

CborArrayWriter::CborArrayWriter(std::size_t size) : array_(cbor_new_definite_array(size)) {}

// `cbor_array_push` takes its own reference, so the reference of `item` is released here.
void CborArrayWriter::push(CborItem item) { (void)cbor_array_push(array_.get(), item.get()); }

void CborArrayWriter::add(std::uint64_t value) { push(CborItem(cbor_build_uint64(value))); }

void CborArrayWriter::add(double value) { push(CborItem(cbor_build_float8(value))); }

void CborArrayWriter::add(const std::string& text) {
  push(CborItem(cbor_build_stringn(text.data(), text.size())));
}

void CborArrayWriter::add(CborArrayWriter&& array) { push(std::move(array.array_)); }

void CborArrayWriter::add_flag(bool value) { add(std::uint64_t{value ? 1U : 0U}); }

std::string CborArrayWriter::serialize() const {
  unsigned char* buffer = nullptr;
  std::size_t capacity = 0;
  const std::size_t size = cbor_serialize_alloc(array_.get(), &buffer, &capacity);
  const std::unique_ptr<unsigned char, decltype(&std::free)> owned(buffer, &std::free);
  return {reinterpret_cast<const char*>(buffer), size};
}

CborArrayReader::CborArrayReader(CborItem item)
    : array_(std::move(item)),
      ok_(array_ != nullptr && cbor_isa_array(array_.get()) &&
          cbor_array_is_definite(array_.get())) {}

std::size_t CborArrayReader::size() const { return ok_ ? cbor_array_size(array_.get()) : 0; }

CborItem CborArrayReader::next() {
  if (position_ >= size()) {
    ok_ = false;
    return nullptr;
  }
  return CborItem(cbor_array_get(array_.get(), position_++));
}

std::uint64_t CborArrayReader::read_number() {
  const CborItem item = next();
  ok_ = item != nullptr && cbor_isa_uint(item.get());
  return ok_ ? cbor_get_int(item.get()) : 0;
}

double CborArrayReader::read_double() {
  const CborItem item = next();
  ok_ = item != nullptr && cbor_isa_float_ctrl(item.get()) && !cbor_float_ctrl_is_ctrl(item.get());
  return ok_ ? cbor_float_get_float(item.get()) : 0;
}

std::string CborArrayReader::read_text() {
  const CborItem item = next();
  ok_ = item != nullptr && cbor_isa_string(item.get()) && cbor_string_is_definite(item.get());
  if (!ok_) return "";
  return {reinterpret_cast<const char*>(cbor_string_handle(item.get())),
          cbor_string_length(item.get())};
}

CborArrayReader CborArrayReader::read_array() {
  CborArrayReader array(next());
  ok_ = array.ok();
  return array;
}

CborItem decode_cbor(const std::string& frame) {
  if (!has_plausible_sizes(frame)) return nullptr;
  cbor_load_result result{};
  return CborItem(cbor_load(reinterpret_cast<cbor_data>(frame.data()), frame.size(), &result));
}

}  // namespace poppystile::protocol
