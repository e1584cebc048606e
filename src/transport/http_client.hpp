// HTTP/1.1 client over libuv: keep-alive connections per remote address, bounded in number.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <string>

#include "transport/event_loop.hpp"
#include "transport/http.hpp"

namespace poppystile::transport {

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

  void pump(Pool& pool);
  void closed(Pool& pool, Connection* connection);

  EventLoop& loop_;
  std::map<std::string, std::unique_ptr<Pool>> pools_;
};

}  // namespace poppystile::transport
