#include "protocol/properties.hpp"

#include <log4cplus/helpers/property.h>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <limits>
#include <map>
#include <vector>

#include "constants.hpp"
#include "protocol/json.hpp"

namespace poppystile::protocol {

Properties::Properties()
    : idle_capacity_retention(constants::idle_capacity_retention),
      service_reserve(constants::service_reserve),
      remote_offset_units(constants::remote_offset_units) {}

namespace {

/// The allowed range of a key's value, and the function that stores it.
struct PropertyRule {
  double min;
  double max;
  void (*set)(Properties& out, double value);
};

const std::map<std::string, PropertyRule>& property_rules() {
  static const std::map<std::string, PropertyRule> rules = {
      {"fleet.idle-keep-s",
       {0, 3600,
        [](Properties& out, double value) { out.idle_capacity_retention = Seconds{value}; }}},
      {"fleet.service-reserve",
       {0, 2, [](Properties& out, double value) { out.service_reserve = value; }}},
      {"planner.remote-offset-units",
       {0, 100, [](Properties& out, double value) { out.remote_offset_units = value; }}},
  };
  return rules;
}

/// The Levenshtein distance of two keys.
std::size_t edit_distance(const std::string& a, const std::string& b) {
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

/// The known key most similar to `key`, as a hint in the error about an unknown key.
std::string nearest_key(const std::string& key) {
  std::string best;
  std::size_t min_distance = std::numeric_limits<std::size_t>::max();
  for (const auto& [name, rule] : property_rules()) {
    if (const auto distance = edit_distance(key, name); distance < min_distance) {
      min_distance = distance;
      best = name;
    }
  }
  return best;
}

/// Parses the value of one key and stores it in `out`; throws DecodeError if the key is unknown or
/// the value is not a number in its range.
void apply(Properties& out, const std::string& key, const std::string& text) {
  const auto rule = property_rules().find(key);
  if (rule == property_rules().end())
    throw DecodeError("unknown key " + key + ", the most similar known key is " + nearest_key(key));
  const auto& [min, max, set] = rule->second;
  double value = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc{} || stop != end || !(value >= min && value <= max))
    throw DecodeError::expected(key, "a number from " + std::to_string(min) + " to " +
                                         std::to_string(max) + ", got \"" + text + "\"");
  set(out, value);
}

}  // namespace

Properties read_properties(const std::string& path) {
  Properties out;
  if (path.empty()) return out;
  std::ifstream file(path);
  if (!file) throw DecodeError("cannot open the properties file for reading");
  log4cplus::helpers::Properties read(file);
  for (const auto& key : read.propertyNames()) apply(out, key, read.getProperty(key));
  return out;
}

}  // namespace poppystile::protocol
