#include "simulation/scenario.hpp"

#include <iostream>

#include "simulation/scenario_actions.hpp"
#include "simulation/scenario_expectations.hpp"
#include "simulation/scenario_settings.hpp"

namespace poppystile::simulation {

namespace {
constexpr int max_printed_violations = 10;
constexpr int default_machines = 6, default_spot_machines = 3;  // of each type, in each zone
constexpr double default_until_s = 200;
}  // namespace

Scenario::Scenario(const std::string& path, int seed_index)
    : statements_(read_scenario_file(path)), until_(default_until_s) {
  for (const auto& statement : statements_)
    if (statement.words[0] == "simulation") {
      until_ = statement.number("until", default_until_s);
      seeds_ = statement.count("seeds", 1);
    }
  SimulationSettings settings = read_settings(statements_);
  settings.seed += static_cast<std::uint64_t>(seed_index);
  simulation_ = std::make_unique<Simulation>(settings);
  load_generator_ = std::make_unique<LoadGenerator>(*simulation_, until_);
  for (const auto& statement : statements_) {
    if (statement.words[0] == "type") add_machine_type(statement);
    if (statement.words[0] == "load") load_generator_->schedule(statement);
    if (statement.words[0] == "at") schedule_action(statement);
  }
}

bool Scenario::run() {
  simulation_->start();
  simulation_->queue().run_until(until_);
  InvariantChecker& invariants = simulation_->invariants();
  invariants.check_final_service();
  int failures = 0;
  for (const auto& violation : invariants.violations())
    if (++failures <= max_printed_violations)
      std::cout << "invariant violated: " << violation << "\n";
  for (const auto& statement : statements_)
    if (statement.words[0] == "expect" && !check_expectation(statement)) ++failures;
  std::cout << "started " << invariants.starts() << ", accepted " << invariants.accepted_jobs()
            << ", done " << invariants.done_jobs() << ", failures " << failures << "\n";
  return failures == 0;
}

void Scenario::add_machine_type(const Statement& statement) {
  simulation_->cloud().add_type(read_machine_type(statement),
                                statement.count("count", default_machines),
                                statement.count("spot", default_spot_machines));
}

void Scenario::schedule_action(const Statement& statement) {
  const double first = std::stod(statement.words.at(1));
  const int times = statement.count("times", 1);
  for (int i = 0; i < times; ++i)
    simulation_->queue().at(first + i * statement.number("every", 1),
                            [this, statement] { perform_action(*simulation_, statement); });
}

bool Scenario::check_expectation(const Statement& expectation) {
  const std::string& name = expectation.words.at(1);
  const std::string& comparison = expectation.words.at(2);
  const double expected = std::stod(expectation.words.at(3));
  const double found = measure(*simulation_, name);
  const bool met = comparison == ">=" ? found >= expected : found <= expected;
  if (!met)
    std::cout << "expected " << name << " " << comparison << " " << expected << ", found " << found
              << "\n";
  return met;
}

}  // namespace poppystile::simulation
