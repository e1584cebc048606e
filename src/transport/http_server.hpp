/// \file
/// HTTP/1.1 server over libuv and http-parser.
#pragma once

#include <cstddef>
#include <functional>
#include <list>

#include "transport/event_loop.hpp"
#include "transport/http.hpp"
#include "transport/tcp_stream.hpp"

namespace poppystile::transport {

/// Handles a request; calls the `Respond` at once or later. A response is dropped if the connection
/// has closed in the meantime.
using HttpHandler = std::function<void(const HttpRequest&, Respond)>;

/// Serves HTTP on a limited number of connections.
///
/// Over the limit, the server closes the least recently used connection (by its last request, or by
/// its opening if there was none) among those that have carried no priority request. It also closes
/// a connection that has sent nothing for `constants::server_idle_timeout`. A request with a body
/// over `constants::max_request_body_bytes` gets status 400.
class HttpServer {
 public:
  /// Starts to listen; throws std::runtime_error if that fails. A connection that has carried a
  /// request for which `has_priority` returns true is never closed in favour of another.
  HttpServer(EventLoop& loop, const Endpoint& listen, std::size_t max_connections,
             std::function<bool(const HttpRequest&)> has_priority, HttpHandler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

 private:
  class Connection;
  /// Accepts a connection, and closes one if there are more than `max_connections_`.
  void accept();

  EventLoop& loop_;
  std::function<bool(const HttpRequest&)> has_priority_;
  HttpHandler handler_;
  std::size_t max_connections_;
  std::size_t open_connections_ = 0;
  // Open connections that have carried no priority request, least recently used first.
  std::list<Connection*> evictable_;
  TcpListener listener_;
};

}  // namespace poppystile::transport
