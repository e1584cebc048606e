/// \file
/// Reads scenario files: one statement a line, words first, then KEY=VALUE pairs; `#` begins a
/// comment.
#pragma once

#include <map>
#include <string>
#include <vector>

namespace poppystile::simulation {

/// One statement of a scenario file.
struct Statement {
  int line = 0;
  std::vector<std::string> words;
  std::map<std::string, std::string> values;

  std::string text(const std::string& key, const std::string& otherwise) const;
  double number(const std::string& key, double otherwise) const;
  int count(const std::string& key, int otherwise) const;
  bool flag(const std::string& key) const { return text(key, "false") == "true"; }
};

/// Throws std::runtime_error when the file cannot be read.
std::vector<Statement> read_scenario_file(const std::string& path);

std::vector<std::string> split(const std::string& text, char at);

}  // namespace poppystile::simulation
