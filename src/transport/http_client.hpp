/// \file
/// HTTP/1.1 client over libuv: keep-alive connections per remote address, bounded in number.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "transport/event_loop.hpp"
#include "transport/http.hpp"

namespace poppystile::transport {

/// Calls over pooled connections. A call beyond `constants::client_backlog` waiting ones to the
/// same address fails without being sent.
class HttpClient final : public HttpCaller {
 public:
  explicit HttpClient(EventLoop& loop);
  ~HttpClient() override;
  void call(const Endpoint& to, HttpRequest request, Seconds timeout,
            std::function<void(HttpResponse)> done) override;

 private:
  struct Exchange;
  class Connection;
  struct Pool;

  Pool& pool_of(const Endpoint& to);
  /// Hands waiting calls to idle connections, and opens new ones up to the limit.
  void pump(Pool& pool);
  /// An idle connection, or a new one; nullptr when the limit is reached.
  std::shared_ptr<Connection> free_connection(Pool& pool);
  void on_closed(Pool& pool, const Connection* connection);

  EventLoop& loop_;
  std::map<std::string, std::unique_ptr<Pool>> pools_;
};

}  // namespace poppystile::transport
