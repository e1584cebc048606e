/// \file
/// Checked access to JSON fields: a missing or invalid field throws DecodeError with its name.
#pragma once

#include <cmath>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "clock.hpp"

namespace poppystile::protocol {

using Json = nlohmann::json;

/// Thrown for input that cannot be decoded. `what()` names the field and the problem, and is shown
/// to users and operators.
class DecodeError : public std::runtime_error {
 public:
  /// For a problem that no single field causes.
  explicit DecodeError(const std::string& problem) : std::runtime_error(problem) {}
  /// Gives the text "FIELD PROBLEM", such as "rank is unknown".
  DecodeError(const std::string& field, const std::string& problem)
      : std::runtime_error(field + " " + problem), field_(field) {}

  /// Gives the text "FIELD: expected EXPECTATION", such as "cores: expected a number above 0".
  static DecodeError expected(const std::string& field, const std::string& expectation) {
    return {field + ":", "expected " + expectation, field};
  }

  /// The name of the invalid field; empty if no single field is invalid.
  const std::string& field() const { return field_; }

 private:
  DecodeError(const std::string& prefix, const std::string& problem, std::string field)
      : std::runtime_error(prefix + " " + problem), field_(std::move(field)) {}

  std::string field_;
};

/// Parses `text`; throws DecodeError unless it is a JSON object.
inline Json parse_object(const std::string& text) {
  Json parsed = Json::parse(text, nullptr, false);
  if (parsed.is_discarded()) throw DecodeError("not JSON");
  if (!parsed.is_object()) throw DecodeError("not an object");
  return parsed;
}

/// The field's value; nullptr when it is absent or null.
inline const Json* find(const Json& object, const char* name) {
  const auto it = object.find(name);
  return it == object.end() || it->is_null() ? nullptr : &*it;
}

/// The field's value; throws DecodeError when it is absent or null.
inline const Json& need(const Json& object, const char* name) {
  const Json* found = find(object, name);
  if (found == nullptr) throw DecodeError(name, "is missing");
  return *found;
}

// Each `as_...` function converts a value. It throws DecodeError for the field `name` if the value
// has another type or is out of range.

inline std::string as_text(const Json& value, const char* name) {
  if (!value.is_string()) throw DecodeError(name, "is not a string");
  return value.get<std::string>();
}

inline bool as_flag(const Json& value, const char* name) {
  if (!value.is_boolean()) throw DecodeError(name, "is not true or false");
  return value.get<bool>();
}

/// Accepts finite numbers from 0 on.
inline double as_amount(const Json& value, const char* name) {
  if (!value.is_number()) throw DecodeError(name, "is not a number");
  const double amount = value.get<double>();
  if (!std::isfinite(amount) || amount < 0) throw DecodeError(name, "out of range");
  return amount;
}

/// Accepts integers from 0 on.
inline std::uint64_t as_count(const Json& value, const char* name) {
  if (!value.is_number_unsigned()) throw DecodeError(name, "is not a count");
  return value.get<std::uint64_t>();
}

inline Seconds as_seconds(const Json& value, const char* name) {
  return Seconds{as_amount(value, name)};
}

// Each `need_...` function reads a mandatory field. It throws DecodeError if the field is absent,
// null or not of the type that the function returns.

inline std::string need_text(const Json& object, const char* name) {
  return as_text(need(object, name), name);
}

inline bool need_flag(const Json& object, const char* name) {
  return as_flag(need(object, name), name);
}

inline double need_amount(const Json& object, const char* name) {
  return as_amount(need(object, name), name);
}

inline Seconds need_seconds(const Json& object, const char* name) {
  return as_seconds(need(object, name), name);
}

inline std::uint64_t need_count(const Json& object, const char* name) {
  return as_count(need(object, name), name);
}

inline const Json& need_list(const Json& object, const char* name) {
  const Json& list = need(object, name);
  if (!list.is_array()) throw DecodeError(name, "is not a list");
  return list;
}

/// Reads a list of strings.
inline std::vector<std::string> need_texts(const Json& object, const char* name) {
  std::vector<std::string> texts;
  for (const Json& each : need_list(object, name)) texts.push_back(as_text(each, name));
  return texts;
}

}  // namespace poppystile::protocol
