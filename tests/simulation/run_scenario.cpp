/// \file
/// Runs one scenario file (see simulation/scenario.hpp), once for each of its seeds. Exit codes: 0
/// if every invariant held and every expectation was met, 1 if not, and 2 for wrong usage or a file
/// that cannot be read or is invalid.
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <cstdlib>
#include <iostream>

#include "simulation/scenario.hpp"

namespace {

constexpr int exit_usage = 2;

bool run_all_seeds(const std::string& path) {
  bool passed = true;
  int seeds = 1;
  for (int seed_index = 0; seed_index < seeds; ++seed_index) {
    poppystile::simulation::Scenario scenario(path, seed_index);
    seeds = scenario.seeds();
    passed = scenario.run() && passed;
  }
  return passed;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) {
    std::cerr << "usage: run_scenario FILE\n";
    return exit_usage;
  }
  const char* level = std::getenv("LOG_LEVEL");
  spdlog::set_default_logger(spdlog::stderr_logger_st("scenario"));
  spdlog::set_level(level == nullptr ? spdlog::level::off : spdlog::level::from_str(level));
  try {
    return run_all_seeds(argv[1]) ? EXIT_SUCCESS : EXIT_FAILURE;
  } catch (const std::exception& problem) {
    std::cerr << argv[1] << ": " << problem.what() << "\n";
    return exit_usage;
  }
}
