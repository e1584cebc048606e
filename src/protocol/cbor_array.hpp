/// \file
/// CBOR arrays: written item by item, and read item by item with their types checked.
#pragma once

#include <cbor.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace poppystile::protocol {

/// Gives back a reference to an item.
struct CborItemDeleter {
  void operator()(cbor_item_t* item) const;
};
using CborItem = std::unique_ptr<cbor_item_t, CborItemDeleter>;

/// Builds an array of a size known before.
class CborArrayWriter {
 public:
  explicit CborArrayWriter(std::size_t size);

  void add(std::uint64_t value);
  void add(double value);
  void add(const std::string& text);
  void add(CborArrayWriter&& array);
  void add_flag(bool value);  ///< As 1 or 0.

  std::string serialize() const;

 private:
  void push(CborItem item);

  CborItem array_;
};

/// Reads the items of an array in their order.
///
/// The first surprise, such as another type or the end of the array, makes the reader fail; from
/// then on every read gives an empty value. So a caller may read all items and check `ok()` once.
class CborArrayReader {
 public:
  /// Fails at once unless `item` is an array of definite size.
  explicit CborArrayReader(CborItem item);

  bool ok() const { return ok_; }
  std::size_t size() const;

  std::uint64_t read_number();
  bool read_flag() { return read_number() == 1; }
  double read_double();
  std::string read_text();
  CborArrayReader read_array();

 private:
  CborItem next();

  CborItem array_;
  std::size_t position_ = 0;
  bool ok_ = false;
};

/// Decodes a frame that holds one item without any map; nullptr for any other.
///
/// libcbor sets aside room for as many items as an array's head claims before it reads them, so one
/// damaged frame could cost gigabytes and many seconds. Frames whose arrays claim more items than
/// the frame has bytes are refused before that.
CborItem decode_cbor(const std::string& frame);

}  // namespace poppystile::protocol
