/// \file
/// Routing of HTTP requests by their path.
#pragma once

#include <cstdint>
#include <string>

namespace poppystile::protocol {

/// The kind of a request, as its path alone determines it.
struct Route {
  enum class Kind : std::uint8_t { submit, show, cancel, health_check, heartbeat, none };

  Kind kind = Kind::none;
  std::string id;  ///< Job id of `show` and `cancel`, not validated; otherwise empty.
};

/// Parses the path of `target` and ignores its query. Returns `Route::Kind::none` for unknown
/// paths.
Route parse_route(const std::string& target);

}  // namespace poppystile::protocol
