#include "protocol/properties.hpp"

#include <log4cplus/helpers/property.h>

#include <charconv>
#include <fstream>
#include <map>

#include "constants.hpp"
#include "protocol/json.hpp"

namespace poppystile::protocol {

Properties::Properties()
    : idle_keep_s(constants::idle_keep_s),
      service_reserve(constants::service_reserve),
      remote_offset_units(constants::remote_offset_units) {}

namespace {

struct Rule {
  double Properties::*field;
  double least;
  double most;
};

const std::map<std::string, Rule>& invariants() {
  static const std::map<std::string, Rule> all = {
      {"fleet.idle-keep-s", {&Properties::idle_keep_s, 0, 3600}},
      {"fleet.service-reserve", {&Properties::service_reserve, 0, 2}},
      {"planner.remote-offset-units", {&Properties::remote_offset_units, 0, 100}},
  };
  return all;
}

// Levenshtein distance, for the hint in a complaint about an unknown key.
std::size_t distance(const std::string& a, const std::string& b) {
  std::vector<std::size_t> row(b.size() + 1);
  for (std::size_t j = 0; j <= b.size(); ++j) row[j] = j;
  for (std::size_t i = 1; i <= a.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i;
    for (std::size_t j = 1; j <= b.size(); ++j) {
      const std::size_t above = row[j];
      row[j] = std::min({above + 1, row[j - 1] + 1, diagonal + (a[i - 1] == b[j - 1] ? 0 : 1)});
      diagonal = above;
    }
  }
  return row.back();
}

std::string nearest(const std::string& key) {
  std::string best;
  std::size_t least = ~std::size_t{0};
  for (const auto& [name, rule] : invariants()) {
    if (const auto d = distance(key, name); d < least) {
      least = d;
      best = name;
    }
  }
  return best;
}

void apply(Properties& out, const std::string& key, const std::string& text) {
  const auto rule = invariants().find(key);
  if (rule == invariants().end())
    throw DecodeError("unknown key " + key + ", the nearest is " + nearest(key));
  const auto& [field, least, most] = rule->second;
  double value = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc{} || stop != end || !(value >= least && value <= most))
    throw DecodeError(key + ": expected a number from " + std::to_string(least) + " to " +
                      std::to_string(most) + ", got \"" + text + "\"");
  out.*field = value;
}

}  // namespace

Properties read_properties(const std::string& path) {
  Properties out;
  if (path.empty()) return out;
  std::ifstream file(path);
  if (!file) throw DecodeError("cannot be read");
  log4cplus::helpers::Properties read(file);
  for (const auto& key : read.propertyNames()) apply(out, key, read.getProperty(key));
  return out;
}

}  // namespace poppystile::protocol
