// HTTP/1.1 server over libuv and http-parser.
#pragma once

#include <functional>
#include <list>
#include <memory>

#include "transport/event_loop.hpp"
#include "transport/http.hpp"

namespace poppystile::transport {

using HttpHandler = std::function<void(const HttpRequest&, Respond)>;

// Incoming connections are bounded. Over the budget those go first that have carried no vital
// request, the longest silent of them before the others.
class HttpServer {
 public:
  HttpServer(EventLoop& loop, const Endpoint& listen, std::size_t max_connections,
             std::function<bool(const HttpRequest&)> vital, HttpHandler handler);
  ~HttpServer();

 private:
  class Connection;
  void accept();

  EventLoop& loop_;
  std::function<bool(const HttpRequest&)> vital_;
  HttpHandler handler_;
  std::size_t max_connections_;
  std::size_t open_ = 0;
  std::list<Connection*> ordinary_;  // the longest silent first
  uv_tcp_t listener_{};
};

}  // namespace poppystile::transport
