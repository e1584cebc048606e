/// \file
/// Ownership of libuv handles, which must stay allocated until libuv has closed them.
#pragma once

#include <uv.h>

#include <memory>

namespace poppystile::transport {

/// Closes the handle of a block, and frees the block when libuv reports the handle as closed.
///
/// A block must have an initialized member `handle`, whose `handle.data` points to the block, and a
/// flag `closing`. Callbacks must check that flag, since libuv still runs some of them after
/// `uv_close`.
struct UvCloser {
  template <typename Block>
  void operator()(Block* block) const {
    block->closing = true;
    uv_close(reinterpret_cast<uv_handle_t*>(&block->handle), [](uv_handle_t* handle) {
      const std::unique_ptr<Block> owned(static_cast<Block*>(handle->data));
    });
  }
};

/// Owning pointer to a block with a libuv handle.
template <typename Block>
using UvHandle = std::unique_ptr<Block, UvCloser>;

}  // namespace poppystile::transport
