/// \file
/// Which request a path stands for.
#pragma once

#include <cstdint>
#include <string>

namespace poppystile::protocol {

/// Where a request goes, by its path alone.
struct Route {
  enum class Kind : std::uint8_t { submit, show, cancel, up, heartbeat, none };

  Kind kind = Kind::none;
  std::string id;  ///< The job of `show` and `cancel`; not checked for its form.
};

/// Reads the path of `target`, and ignores its query. Unknown paths give `Route::Kind::none`.
Route parse_route(const std::string& target);

}  // namespace poppystile::protocol
