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
  /// Listens at once; throws std::runtime_error, with `purpose` in its text, when it cannot.
  /// `on_connection` runs for each connection that waits to be accepted.
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
/// No callback runs after `close()` or the destruction. Callbacks are freed some turns of the loop
/// later, so they may hold their owner alive, and an owner may close the stream from within one.
class TcpStream {
 public:
  explicit TcpStream(EventLoop& loop);

  /// Takes the next connection that waits at the listener; false if there is none.
  bool accept(TcpListener& listener);
  /// Connects; `on_connected` is told whether it worked. False if it fails at once.
  bool connect(const Endpoint& to, std::function<void(bool connected)> on_connected);
  /// Sends small writes without delay.
  void set_nodelay();
  /// Passes on what arrives, in pieces of at most `buffer_bytes`. `on_end` runs when the other side
  /// has closed the connection or it has failed.
  void start_reading(std::size_t buffer_bytes, std::function<void(std::string_view)> on_data,
                     std::function<void()> on_end);
  /// Sends `data`; `on_written` is told whether it worked. False if it fails at once.
  bool write(std::string data, std::function<void(bool written)> on_written = {});
  /// Bytes that wait to be sent.
  std::size_t write_queue_size() const;
  /// Ends the connection; nothing else may be called afterwards.
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
