// The program: command line, settings, logging, and one controller until it is killed.
#include <spdlog/sinks/dup_filter_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>

#include "constants.hpp"
#include "coordination/controller.hpp"
#include "protocol/json.hpp"
#include "transport/http_client.hpp"
#include "transport/http_server.hpp"

namespace {

using namespace poppystile;

constexpr int exit_bad_settings = 2;

void set_up_logging() {
  // A line that repeats itself, such as one about malformed reports, is written once and counted.
  auto once = std::make_shared<spdlog::sinks::dup_filter_sink_st>(constants::log_repeat_window);
  once->add_sink(std::make_shared<spdlog::sinks::stderr_sink_st>());
  auto logger = std::make_shared<spdlog::logger>("poppystile", once);
  spdlog::set_default_logger(logger);
  spdlog::set_pattern("%Y-%m-%dT%H:%M:%S.%e %l %v");
  const char* level = std::getenv("LOG_LEVEL");
  const std::string word = level == nullptr ? "info" : level;
  spdlog::set_level(word == "debug"   ? spdlog::level::debug
                    : word == "error" ? spdlog::level::err
                                      : spdlog::level::info);
}

protocol::Settings read_settings(const std::string& path) {
  std::ifstream file(path);
  if (!file) throw protocol::DecodeError("cannot be read");
  std::stringstream text;
  text << file.rdbuf();
  return protocol::parse_settings(text.str());
}

int serve(const protocol::Settings& settings, const protocol::Properties& properties) {
  transport::EventLoop loop;
  transport::HttpClient client(loop);
  std::vector<transport::Endpoint> peer_addresses;
  for (const auto& each : settings.peers) peer_addresses.push_back(each.address);
  transport::PeerConnections peers(loop, settings.peer_listen, peer_addresses);
  coordination::Controller node(loop, client, peers, settings, properties, std::random_device{}());
  const auto sockets = static_cast<std::size_t>(settings.sockets * constants::server_socket_share);
  transport::HttpServer server(
      loop, settings.listen, sockets, coordination::Controller::is_vital,
      [&](const transport::HttpRequest& request, transport::Respond respond) {
        node.handle(request, std::move(respond));
      });
  spdlog::info("started name={} zone={} listen={}:{}", settings.name, settings.zone,
               settings.listen.host, settings.listen.port);
  if (settings.cancel_timeout <= settings.worker_lease + 3 * constants::lease_margin)
    spdlog::warn(
        "cancel_s={} leaves no time beyond lease_s={}: a leader cut off from the state service "
        "falls silent at once",
        settings.cancel_timeout.count(), settings.worker_lease.count());
  node.start();
  loop.run();
  return EXIT_SUCCESS;
}

}  // namespace

// What is thrown before there is a log may end the program.
// NOLINTNEXTLINE(bugprone-exception-escape)
int main(int argc, char** argv) {
  CLI::App app{"poppystile: a cluster scheduler"};
  std::string config;
  std::string properties_path;
  bool check = false;
  app.add_option("--config", config, "settings file of the platform (JSON)")->required();
  app.add_option("--properties", properties_path, "operators' own settings (Java properties)");
  app.add_flag("--check", check, "check settings and properties, then exit");
  app.set_version_flag("--version", std::string("poppystile ") + POPPYSTILE_VERSION);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& problem) {
    return app.exit(problem) == 0 ? EXIT_SUCCESS : exit_bad_settings;
  }
  std::signal(SIGPIPE, SIG_IGN);
  set_up_logging();
  std::string file = config;
  try {
    const auto settings = read_settings(config);
    file = properties_path;
    const auto properties = protocol::read_properties(properties_path);
    if (check) {
      std::cout << "settings are good\n";
      return EXIT_SUCCESS;
    }
    return serve(settings, properties);
  } catch (const protocol::DecodeError& problem) {
    std::cerr << file << ": " << problem.what() << "\n";
    return exit_bad_settings;
  } catch (const std::exception& problem) {
    std::cerr << "poppystile: " << problem.what() << "\n";
    return EXIT_FAILURE;
  }
}
