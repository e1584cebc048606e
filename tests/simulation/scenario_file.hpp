/// \file
/// Reads scenario files: one statement a line, words first, then KEY=VALUE pairs; `#` begins a
/// comment.
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

  /// The value of the key, or `otherwise` if the statement does not have it.
  std::string text(const std::string& key, const std::string& default_value) const;
  double number(const std::string& key, double default_value) const;
  int count(const std::string& key, int default_value) const;
  Seconds seconds(const std::string& key, double default_value) const {
    return Seconds{number(key, default_value)};
  }
  /// Whether the value of the key is "true".
  bool flag(const std::string& key) const { return text(key, "false") == "true"; }
};

/// Reads all statements of a file. Throws std::runtime_error when it cannot be read.
std::vector<Statement> read_scenario_file(const std::string& path);

/// The parts of `text` between separators.
std::vector<std::string> split(const std::string& text, char separator);

}  // namespace poppystile::simulation
