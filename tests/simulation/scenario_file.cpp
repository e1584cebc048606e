#include "simulation/scenario_file.hpp"

#include <fstream>
#include <sstream>
#include <stdexcept>

namespace poppystile::simulation {

std::string Statement::text(const std::string& key, const std::string& default_value) const {
  const auto it = values.find(key);
  return it == values.end() ? default_value : it->second;
}

double Statement::number(const std::string& key, double default_value) const {
  const auto it = values.find(key);
  return it == values.end() ? default_value : std::stod(it->second);
}

int Statement::count(const std::string& key, int default_value) const {
  return static_cast<int>(number(key, default_value));
}

std::vector<std::string> split(const std::string& text, char separator) {
  std::vector<std::string> out;
  std::stringstream rest(text);
  for (std::string part; std::getline(rest, part, separator);) out.push_back(part);
  return out;
}

std::vector<Statement> read_scenario_file(const std::string& path) {
  std::ifstream file(path);
  if (!file) throw std::runtime_error("cannot open scenario file " + path);
  std::vector<Statement> out;
  int number = 0;
  for (std::string text; std::getline(file, text);) {
    Statement statement;
    statement.line = ++number;
    std::stringstream rest(text.substr(0, text.find('#')));
    for (std::string word; rest >> word;) {
      const auto equals = word.find('=');
      if (equals == std::string::npos || word == ">=" || word == "<=") {
        statement.words.push_back(word);
      } else {
        statement.values[word.substr(0, equals)] = word.substr(equals + 1);
      }
    }
    if (!statement.words.empty()) out.push_back(std::move(statement));
  }
  return out;
}

}  // namespace poppystile::simulation
