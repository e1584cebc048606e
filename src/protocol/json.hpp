// Checked access to JSON fields: a wrong or missing field raises DecodeError with its name.
#pragma once

#include <cmath>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>

#include "clock.hpp"

namespace poppystile::protocol {

using Json = nlohmann::json;

struct DecodeError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

inline Json parse_object(const std::string& text) {
  Json parsed = Json::parse(text, nullptr, false);
  if (parsed.is_discarded()) throw DecodeError("not JSON");
  if (!parsed.is_object()) throw DecodeError("not an object");
  return parsed;
}

inline const Json* find(const Json& object, const char* name) {
  const auto it = object.find(name);
  return it == object.end() || it->is_null() ? nullptr : &*it;
}

inline const Json& need(const Json& object, const char* name) {
  const Json* found = find(object, name);
  if (found == nullptr) throw DecodeError(std::string(name) + " is missing");
  return *found;
}

inline std::string as_text(const Json& value, const char* name) {
  if (!value.is_string()) throw DecodeError(std::string(name) + " is not a string");
  return value.get<std::string>();
}

inline bool as_flag(const Json& value, const char* name) {
  if (!value.is_boolean()) throw DecodeError(std::string(name) + " is not true or false");
  return value.get<bool>();
}

// A finite number that is not negative.
inline double as_amount(const Json& value, const char* name) {
  if (!value.is_number()) throw DecodeError(std::string(name) + " is not a number");
  const double amount = value.get<double>();
  if (!std::isfinite(amount) || amount < 0) throw DecodeError(std::string(name) + " out of range");
  return amount;
}

inline std::uint64_t as_count(const Json& value, const char* name) {
  if (!value.is_number_unsigned()) throw DecodeError(std::string(name) + " is not a count");
  return value.get<std::uint64_t>();
}

inline std::string need_text(const Json& o, const char* n) { return as_text(need(o, n), n); }
inline bool need_flag(const Json& o, const char* n) { return as_flag(need(o, n), n); }
inline double need_amount(const Json& o, const char* n) { return as_amount(need(o, n), n); }
inline Seconds as_seconds(const Json& value, const char* name) {
  return Seconds{as_amount(value, name)};
}
inline Seconds need_seconds(const Json& o, const char* n) { return as_seconds(need(o, n), n); }
inline std::uint64_t need_count(const Json& o, const char* n) { return as_count(need(o, n), n); }

inline const Json& need_list(const Json& object, const char* name) {
  const Json& list = need(object, name);
  if (!list.is_array()) throw DecodeError(std::string(name) + " is not a list");
  return list;
}

}  // namespace poppystile::protocol
