/// \file
/// HTTP/1.1 client over libuv, with a limited number of keep-alive connections per remote address.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "transport/event_loop.hpp"
#include "transport/http.hpp"

namespace poppystile::transport {

/// Sends requests over pooled connections. While `constants::client_backlog` calls to an address
/// already wait for a connection, a further one fails with status 0 and is not sent.
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

  /// The pool of an address; created on its first use.
  Pool& pool_of(const Endpoint& to);
  /// Assigns waiting calls to idle connections, and opens new ones up to
  /// `constants::client_connections`.
  void dispatch_waiting(Pool& pool);
  /// An idle connection, or a new one; nullptr when the limit is reached.
  std::shared_ptr<Connection> acquire_connection(Pool& pool);
  /// Removes the connection from its pool and, in a later iteration of the event loop, assigns the
  /// calls that still wait.
  void on_closed(Pool& pool, const Connection* connection);

  EventLoop& loop_;
  std::map<std::string, std::unique_ptr<Pool>> pools_;
};

}  // namespace poppystile::transport
