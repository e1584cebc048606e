#include "protocol/route.hpp"

#include <string_view>

namespace poppystile::protocol {

namespace {

constexpr std::string_view submissions_path = "/submissions";
constexpr std::string_view job_path_prefix = "/submissions/";
constexpr std::string_view cancel_suffix = "/cancel";
constexpr std::string_view health_path = "/up";
constexpr std::string_view heartbeat_path = "/agent/beat";

/// Parses the path of one job; `path` starts after "/submissions/".
Route parse_job_route(std::string_view path) {
  const bool cancel = path.ends_with(cancel_suffix);
  if (cancel) path.remove_suffix(cancel_suffix.size());
  if (path.empty() || path.find('/') != std::string_view::npos) return {};
  return {cancel ? Route::Kind::cancel : Route::Kind::show, std::string(path)};
}

}  // namespace

Route parse_route(const std::string& target) {
  const std::string_view path = std::string_view(target).substr(0, target.find('?'));
  if (path == submissions_path) return {Route::Kind::submit, ""};
  if (path == health_path) return {Route::Kind::health_check, ""};
  if (path == heartbeat_path) return {Route::Kind::heartbeat, ""};
  if (path.starts_with(job_path_prefix))
    return parse_job_route(path.substr(job_path_prefix.size()));
  return {};
}

}  // namespace poppystile::protocol
