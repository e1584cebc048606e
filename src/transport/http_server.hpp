// HTTP/1.1 server over libuv and http-parser.
#pragma once

#include <functional>
#include <memory>

#include "transport/event_loop.hpp"
#include "transport/http.hpp"

namespace poppystile::transport {

using HttpHandler = std::function<void(const HttpRequest&, Respond)>;

class HttpServer {
 public:
  HttpServer(EventLoop& loop, const Endpoint& listen, std::size_t max_connections,
             HttpHandler handler);
  ~HttpServer();

 private:
  class Connection;
  void accept();

  EventLoop& loop_;
  HttpHandler handler_;
  std::size_t max_connections_;
  std::size_t open_ = 0;
  uv_tcp_t listener_{};
};

}  // namespace poppystile::transport
