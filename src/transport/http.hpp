// Plain HTTP messages and the interfaces the upper layers see.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "clock.hpp"

namespace poppystile::transport {

struct Endpoint {
  std::string host;
  std::uint16_t port = 0;
  bool operator==(const Endpoint&) const = default;
};

struct HttpRequest {
  std::string method;
  std::string target;
  std::string body;
};

struct HttpResponse {
  int status = 0;  // 0: no answer, the outcome is unknown
  std::string body;
  std::chrono::seconds retry_after{0};  // sent as Retry-After when positive
};

using Respond = std::function<void(HttpResponse)>;

// Calls out. The callback runs exactly once; status 0 tells that no answer came in time.
class HttpCaller {
 public:
  virtual ~HttpCaller() = default;
  virtual void call(const Endpoint& to, HttpRequest request, Seconds timeout,
                    std::function<void(HttpResponse)> done) = 0;
};

}  // namespace poppystile::transport
