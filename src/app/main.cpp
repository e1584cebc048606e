/// \file
/// The program: reads the command line and the settings, sets up logging, and runs one controller
/// until the process is killed.
#include <spdlog/sinks/dup_filter_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <memory>
#include <random>
#include <sstream>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "constants.hpp"
#include "coordination/controller.hpp"
#include "protocol/json.hpp"
#include "protocol/properties.hpp"
#include "protocol/settings.hpp"
#include "transport/http_client.hpp"
#include "transport/http_server.hpp"
#include "transport/peer_connections.hpp"

namespace {

using namespace poppystile;

// Exit status for an invalid command line, settings file or properties file.
constexpr int exit_bad_settings = 2;

/// The values of the command line options.
struct Options {
  std::string settings_path;
  std::string properties_path;
  bool check_only = false;
};

/// Thrown for a settings or properties file that cannot be read or is invalid. `what()` starts with
/// the path.
struct BadFile : std::runtime_error {
  BadFile(const std::string& path, const protocol::DecodeError& error)
      : std::runtime_error(path + ": " + error.what()) {}
};

/// The level that the environment variable LOG_LEVEL selects: debug, info or error; info by
/// default.
spdlog::level::level_enum log_level() {
  const char* given = std::getenv("LOG_LEVEL");
  const std::string level = given == nullptr ? "info" : given;
  if (level == "debug") return spdlog::level::debug;
  if (level == "error") return spdlog::level::err;
  return spdlog::level::info;
}

void set_up_logging() {
  // Of equal consecutive lines within this time, such as those about malformed heartbeats, only the
  // first is written; the others are counted.
  auto filter = std::make_shared<spdlog::sinks::dup_filter_sink_st>(constants::log_repeat_window);
  filter->add_sink(std::make_shared<spdlog::sinks::stderr_sink_st>());
  spdlog::set_default_logger(std::make_shared<spdlog::logger>("poppystile", filter));
  spdlog::set_pattern("%Y-%m-%dT%H:%M:%S.%e %l %v");
  spdlog::set_level(log_level());
}

/// Throws BadFile if the file cannot be read or is invalid.
protocol::Settings read_settings(const std::string& path) {
  try {
    std::ifstream file(path);
    if (!file) throw protocol::DecodeError("cannot open the settings file for reading");
    std::stringstream text;
    text << file.rdbuf();
    return protocol::parse_settings(text.str());
  } catch (const protocol::DecodeError& error) {
    throw BadFile(path, error);
  }
}

/// Throws BadFile if the file cannot be read or is invalid.
protocol::Properties read_properties(const std::string& path) {
  try {
    return protocol::read_properties(path);
  } catch (const protocol::DecodeError& error) {
    throw BadFile(path, error);
  }
}

std::vector<transport::Endpoint> peer_addresses(const protocol::Settings& settings) {
  std::vector<transport::Endpoint> addresses;
  for (const auto& each : settings.peers) addresses.push_back(each.address);
  return addresses;
}

/// Logs the start, and a warning if the cancel timeout leaves no time between the loss of the state
/// service and the last response to a worker.
void log_start(const protocol::Settings& settings) {
  spdlog::info("started name={} zone={} listen={}", settings.name, settings.zone,
               to_string(settings.listen));
  if (settings.cancel_timeout <= settings.worker_lease + 3 * constants::lease_margin)
    spdlog::warn(
        "cancel timeout too short cancel_s={} lease_s={}: a leader cut off from the state service "
        "stops responding to workers at once",
        settings.cancel_timeout.count(), settings.worker_lease.count());
}

/// Runs the controller until the process is killed.
int serve(const protocol::Settings& settings, const protocol::Properties& properties) {
  transport::EventLoop loop;
  transport::HttpClient client(loop);
  transport::PeerConnections peers(loop, settings.peer_listen, peer_addresses(settings));
  coordination::Controller controller(loop, client, peers, settings, properties,
                                      std::random_device{}());
  const auto sockets = static_cast<std::size_t>(settings.sockets * constants::server_socket_share);
  const transport::HttpServer server(
      loop, settings.listen, sockets, coordination::Controller::is_heartbeat,
      [&](const transport::HttpRequest& request, transport::Respond respond) {
        controller.handle(request, std::move(respond));
      });
  log_start(settings);
  controller.start();
  loop.run();
  return EXIT_SUCCESS;
}

int run(const Options& options) {
  try {
    const auto settings = read_settings(options.settings_path);
    const auto properties = read_properties(options.properties_path);
    if (options.check_only) {
      std::cout << "settings are good\n";
      return EXIT_SUCCESS;
    }
    return serve(settings, properties);
  } catch (const BadFile& error) {
    std::cerr << error.what() << "\n";
    return exit_bad_settings;
  } catch (const std::exception& error) {
    std::cerr << "poppystile: " << error.what() << "\n";
    return EXIT_FAILURE;
  }
}

}  // namespace

// An exception that is thrown before logging is set up may terminate the program.
// NOLINTNEXTLINE(bugprone-exception-escape)
int main(int argc, char** argv) {
  CLI::App app{"poppystile: a cluster scheduler"};
  Options options;
  app.add_option("--config", options.settings_path, "settings file of the platform (JSON)")
      ->required();
  app.add_option("--properties", options.properties_path,
                 "tuning parameters of the operators (Java properties)");
  app.add_flag("--check", options.check_only, "validate the settings and properties, then exit");
  app.set_version_flag("--version", std::string("poppystile ") + POPPYSTILE_VERSION);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? EXIT_SUCCESS : exit_bad_settings;
  }
  std::signal(SIGPIPE, SIG_IGN);
  set_up_logging();
  return run(options);
}
