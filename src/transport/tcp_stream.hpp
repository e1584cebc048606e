/// \file
/// TCP connections and listening sockets on the event loop.
#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

#include "transport/event_loop.hpp"
#include "transport/http.hpp"
#include "transport/uv_handle.hpp"

namespace poppystile::transport {

/// A listening socket.
class TcpListener {
 public:
  /// Starts to listen; throws std::runtime_error, with `purpose` in its text, if that fails.
  /// `on_connection` runs for each pending connection and must accept it.
  TcpListener(EventLoop& loop, const Endpoint& listen, int backlog, const std::string& purpose,
              std::function<void()> on_connection);

 private:
  friend class TcpStream;
  struct Block {
    uv_tcp_t handle{};
    bool closing = false;
    std::function<void()> on_connection;
  };

  UvHandle<Block> block_;
};

/// One TCP connection.
///
/// No callback runs after `close()` or the destruction. Callbacks are freed in a later iteration of
/// the loop, so they may own the object that owns the stream, and may close the stream themselves.
class TcpStream {
 public:
  explicit TcpStream(EventLoop& loop);

  /// Accepts the listener's next pending connection; false if that fails.
  bool accept(TcpListener& listener);
  /// Starts to connect; `on_connected` receives whether that succeeded. Returns false if connecting
  /// fails at once; then no callback runs.
  bool connect(const Endpoint& to, std::function<void(bool connected)> on_connected);
  /// Disables Nagle's algorithm, so that small writes are sent without delay.
  void set_nodelay();
  /// Passes received data to `on_data`, in pieces of at most `buffer_bytes`. `on_end` runs when the
  /// other side has closed the connection or the connection has failed.
  void start_reading(std::size_t buffer_bytes, std::function<void(std::string_view)> on_data,
                     std::function<void()> on_end);
  /// Starts to send `data`; `on_written` receives whether that succeeded. Returns false if writing
  /// fails at once; then no callback runs.
  bool write(std::string data, std::function<void(bool written)> on_written = {});
  /// Number of bytes queued and not sent yet.
  std::size_t write_queue_size() const;
  /// Closes the connection; no other member may be called afterwards.
  void close() { block_.reset(); }

 private:
  struct Block {
    uv_tcp_t handle{};
    uv_connect_t connect{};
    bool closing = false;
    std::string read_buffer;
    std::function<void(bool)> on_connected;
    std::function<void(std::string_view)> on_data;
    std::function<void()> on_end;

    uv_stream_t* stream() { return reinterpret_cast<uv_stream_t*>(&handle); }
  };
  struct WriteRequest;

  UvHandle<Block> block_;
};

}  // namespace poppystile::transport
