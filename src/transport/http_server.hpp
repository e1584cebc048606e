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

/// Handles a request, and responds at once or later. Responses to a connection that has closed
/// since are dropped.
using HttpHandler = std::function<void(const HttpRequest&, Respond)>;

/// Accepts connections up to a budget.
///
/// Over the budget those are closed first that have carried no vital request, the longest silent of
/// them before the others. A body over `constants::max_request_body_bytes` gets 400.
class HttpServer {
 public:
  /// Listens at once; throws std::runtime_error when it cannot. `is_vital` tells which requests
  /// protect their connection.
  HttpServer(EventLoop& loop, const Endpoint& listen, std::size_t max_connections,
             std::function<bool(const HttpRequest&)> is_vital, HttpHandler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

 private:
  class Connection;
  void accept();

  EventLoop& loop_;
  std::function<bool(const HttpRequest&)> is_vital_;
  HttpHandler handler_;
  std::size_t max_connections_;
  std::size_t open_connections_ = 0;
  std::list<Connection*> ordinary_;  // open, without a vital request; the longest silent first
  TcpListener listener_;
};

}  // namespace poppystile::transport
