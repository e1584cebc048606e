/// \file
/// Ownership of libuv handles, which libuv uses until it has closed them.
#pragma once

#include <uv.h>

#include <memory>

namespace poppystile::transport {

/// Closes the handle of a block, and frees the block once libuv has let go of it.
///
/// A block has a member `handle`, initialized and with `handle.data` pointing to the block, and a
/// flag `closing`, which callbacks must check: libuv still runs some of them after the close.
struct UvCloser {
  template <typename Block>
  void operator()(Block* block) const {
    block->closing = true;
    uv_close(reinterpret_cast<uv_handle_t*>(&block->handle), [](uv_handle_t* handle) {
      const std::unique_ptr<Block> owned(static_cast<Block*>(handle->data));
    });
  }
};

/// Owns a block with a libuv handle.
template <typename Block>
using UvHandle = std::unique_ptr<Block, UvCloser>;

}  // namespace poppystile::transport
