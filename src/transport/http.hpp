/// \file
/// Plain HTTP messages and the interfaces the upper layers see.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

#include "clock.hpp"

namespace poppystile::transport {

/// An IPv4 address and port.
struct Endpoint {
  std::string host;
  std::uint16_t port = 0;
  bool operator==(const Endpoint&) const = default;
};

/// "HOST:PORT".
inline std::string to_string(const Endpoint& endpoint) {
  return endpoint.host + ":" + std::to_string(endpoint.port);
}

struct HttpRequest {
  std::string method;
  std::string target;  ///< Path and query.
  std::string body;
};

struct HttpResponse {
  int status = 0;  ///< 0: no response, the outcome is unknown.
  std::string body;
  std::chrono::seconds retry_after{0};  ///< Sent as Retry-After when positive.
};

/// Sends the response to a request; to be called once.
using Respond = std::function<void(HttpResponse)>;

/// Calls to other services.
class HttpCaller {
 public:
  virtual ~HttpCaller() = default;
  /// Sends a request. `done` runs exactly once; status 0 says that no response came in time.
  virtual void call(const Endpoint& to, HttpRequest request, Seconds timeout,
                    std::function<void(HttpResponse)> done) = 0;
};

}  // namespace poppystile::transport
