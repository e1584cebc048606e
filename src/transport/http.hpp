/// \file
/// HTTP messages and the client interface that the upper layers use.
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
  std::string target;  ///< The path and the query.
  std::string body;
};

struct HttpResponse {
  int status = 0;  ///< 0: no response; whether the request was executed is unknown.
  std::string body;
  std::chrono::seconds retry_after{0};  ///< Sent as Retry-After if above 0.
};

/// Sends the response to a request; must be called exactly once.
using Respond = std::function<void(HttpResponse)>;

/// Sends HTTP requests to other services.
class HttpCaller {
 public:
  virtual ~HttpCaller() = default;
  /// Sends a request. `done` runs exactly once: with the response, or with status 0 if there is
  /// none within `timeout`.
  virtual void call(const Endpoint& to, HttpRequest request, Seconds timeout,
                    std::function<void(HttpResponse)> done) = 0;
};

}  // namespace poppystile::transport
