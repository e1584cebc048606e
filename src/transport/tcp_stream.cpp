#include "transport/tcp_stream.hpp"

#include <memory>
#include <stdexcept>
#include <utility>

namespace poppystile::transport {

namespace {

sockaddr_in to_address(const Endpoint& endpoint) {
  sockaddr_in address{};
  uv_ip4_addr(endpoint.host.c_str(), endpoint.port, &address);
  return address;
}

}  // namespace

TcpListener::TcpListener(EventLoop& loop, const Endpoint& listen, int backlog,
                         const std::string& purpose, std::function<void()> on_connection)
    : block_(new Block) {
  uv_tcp_init(loop.raw(), &block_->handle);
  block_->handle.data = block_.get();
  block_->on_connection = std::move(on_connection);
  const sockaddr_in address = to_address(listen);
  int error = uv_tcp_bind(&block_->handle, reinterpret_cast<const sockaddr*>(&address), 0);
  if (error == 0)
    error = uv_listen(reinterpret_cast<uv_stream_t*>(&block_->handle), backlog,
                      [](uv_stream_t* stream, int status) {
                        const auto* block = static_cast<Block*>(stream->data);
                        if (status == 0 && !block->closing) block->on_connection();
                      });
  if (error != 0)
    throw std::runtime_error("cannot listen for " + purpose + " on " + to_string(listen) + ": " +
                             uv_strerror(error));
}

/// One pending write. Owns itself until libuv has completed it.
struct TcpStream::WriteRequest {
  uv_write_t request{};
  std::string data;
  std::function<void(bool)> on_written;
  std::unique_ptr<WriteRequest> self;
};

TcpStream::TcpStream(EventLoop& loop) : block_(new Block) {
  uv_tcp_init(loop.raw(), &block_->handle);
  block_->handle.data = block_.get();
}

bool TcpStream::accept(TcpListener& listener) {
  return uv_accept(reinterpret_cast<uv_stream_t*>(&listener.block_->handle), block_->stream()) == 0;
}

bool TcpStream::connect(const Endpoint& to, std::function<void(bool)> on_connected) {
  const sockaddr_in address = to_address(to);
  block_->on_connected = std::move(on_connected);
  block_->connect.data = block_.get();
  return uv_tcp_connect(&block_->connect, &block_->handle,
                        reinterpret_cast<const sockaddr*>(&address),
                        [](uv_connect_t* request, int status) {
                          const auto* block = static_cast<Block*>(request->data);
                          if (!block->closing) block->on_connected(status == 0);
                        }) == 0;
}

void TcpStream::set_nodelay() { uv_tcp_nodelay(&block_->handle, 1); }

void TcpStream::start_reading(std::size_t buffer_bytes,
                              std::function<void(std::string_view)> on_data,
                              std::function<void()> on_end) {
  block_->read_buffer.resize(buffer_bytes);
  block_->on_data = std::move(on_data);
  block_->on_end = std::move(on_end);
  uv_read_start(
      block_->stream(),
      [](uv_handle_t* handle, std::size_t, uv_buf_t* buffer) {
        auto& free = static_cast<Block*>(handle->data)->read_buffer;
        *buffer = uv_buf_init(free.data(), static_cast<unsigned>(free.size()));
      },
      [](uv_stream_t* stream, ssize_t count, const uv_buf_t* buffer) {
        const auto* block = static_cast<Block*>(stream->data);
        if (block->closing || count == 0) return;
        if (count < 0) return block->on_end();
        block->on_data({buffer->base, static_cast<std::size_t>(count)});
      });
}

bool TcpStream::write(std::string data, std::function<void(bool)> on_written) {
  auto write = std::make_unique<WriteRequest>();
  write->data = std::move(data);
  write->on_written = std::move(on_written);
  write->request.data = write.get();
  const uv_buf_t buffer =
      uv_buf_init(write->data.data(), static_cast<unsigned>(write->data.size()));
  const int error =
      uv_write(&write->request, block_->stream(), &buffer, 1, [](uv_write_t* request, int status) {
        auto* done = static_cast<WriteRequest*>(request->data);
        const auto owned = std::move(done->self);
        const auto* block = static_cast<Block*>(request->handle->data);
        if (done->on_written && !block->closing) done->on_written(status == 0);
      });
  if (error != 0) return false;
  WriteRequest& sent = *write;
  sent.self = std::move(write);
  return true;
}

std::size_t TcpStream::write_queue_size() const {
  return uv_stream_get_write_queue_size(block_->stream());
}

}  // namespace poppystile::transport
