/// \file
/// Reads scenario files. Each line is one statement: words, followed by KEY=VALUE pairs. `#` begins
/// a comment.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "clock.hpp"

namespace poppystile::simulation {

/// One statement of a scenario file.
struct Statement {
  int line = 0;
  std::vector<std::string> words;
  std::map<std::string, std::string> values;

  /// Returns the value of the key, or `default_value` if the statement does not have the key.
  std::string text(const std::string& key, const std::string& default_value) const;
  double number(const std::string& key, double default_value) const;
  int count(const std::string& key, int default_value) const;
  Seconds seconds(const std::string& key, double default_value) const {
    return Seconds{number(key, default_value)};
  }
  /// Whether the value of the key is "true".
  bool flag(const std::string& key) const { return text(key, "false") == "true"; }
};

/// Reads all statements of a file. Throws std::runtime_error if the file cannot be read.
std::vector<Statement> read_scenario_file(const std::string& path);

/// Returns the parts of `text` between separators.
std::vector<std::string> split(const std::string& text, char separator);

}  // namespace poppystile::simulation
