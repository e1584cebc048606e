/// \file
/// Writer and reader for CBOR arrays; the reader checks the type of each item.
#pragma once

#include <cbor.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace poppystile::protocol {

/// Releases one reference to an item.
struct CborItemDeleter {
  void operator()(cbor_item_t* item) const;
};
using CborItem = std::unique_ptr<cbor_item_t, CborItemDeleter>;

/// Builds a CBOR array of fixed size; the caller adds exactly that many items.
class CborArrayWriter {
 public:
  explicit CborArrayWriter(std::size_t size);

  void add(std::uint64_t value);
  void add(double value);
  void add(const std::string& text);
  void add(CborArrayWriter&& array);
  /// Adds the number 1 for true, 0 for false.
  void add_flag(bool value);

  /// The encoded array.
  std::string serialize() const;

 private:
  void push(CborItem item);

  CborItem array_;
};

/// Reads the items of an array in their order.
///
/// Once an item is missing or has another type than the one read, the reader is in the failed state
/// for good: every further read returns an empty value. A caller can therefore read all items and
/// check `ok()` once.
class CborArrayReader {
 public:
  /// Starts in the failed state unless `item` is an array of definite size.
  explicit CborArrayReader(CborItem item);

  bool ok() const { return ok_; }
  /// Number of items in the array; 0 in the failed state.
  std::size_t size() const;

  std::uint64_t read_number();
  bool read_flag() { return read_number() == 1; }
  double read_double();
  std::string read_text();
  CborArrayReader read_array();

 private:
  /// The next item; nullptr, and the failed state, after the last one.
  CborItem next();

  CborItem array_;
  std::size_t position_ = 0;
  bool ok_ = false;
};

/// Decodes the CBOR item in `frame`; returns nullptr if the frame is malformed or contains a map of
/// definite size.
///
/// libcbor allocates memory for the number of items that an array's head declares before it reads
/// them, so one damaged frame could cost gigabytes and many seconds. Frames with an array that
/// declares more items than the frame has bytes are therefore rejected before any allocation.
CborItem decode_cbor(const std::string& frame);

}  // namespace poppystile::protocol
