// A small deployment: three controllers as separate processes, their links, and its stand-ins.
#pragma once

#include <signal.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>

#include <filesystem>
#include <sstream>

#include "worker.hpp"

namespace standin {

/// Numbers of the settings file; those of the Hanafy Image Registry unless a case says otherwise.
struct Site {
  std::string name = "hanafy-registry";
  std::vector<std::string> zones = {"alex-hall", "giza-hall"};
  Json teams = Json::array({Json{{"name", "registry-ops"}, {"cpus", 0.0}, {"cpus_max", 0.0},
                                 {"gpus", 0.0}, {"gpus_max", 0.0}}});
  double report_s = 1, lease_s = 10, cancel_s = 35;
  double rps = 250, write_rps = 40;
  int value_kb = 8, txn_ops = 32;
  double cloud_rps = 6, list_lag_s = 3;
  double core_share = 0.12, ram_mb = 56, sockets = 600;
  double back_s = 5;  // From the end of a controller to its next start.
  int most_machines = 8;
  Json catalog = Json{
      {"builds", Json::array({Json{{"sku", "nile-16"}, {"cores", 16.0}, {"gpus", 0.0},
                                   {"ram_gb", 128.0}, {"local_gb", 70.0}, {"fetch_gb_per_s", 0.8},
                                   {"rate", 0.9}, {"low_price", 0.25}, {"boot_s", 35.0},
                                   {"yards", Json::array({"giza-hall"})}}})}};
};

/// Copies bytes in both directions between two connections until one ends.
inline void relay(int a, int b) {
  for (;;) {
    pollfd ready[2] = {{a, POLLIN, 0}, {b, POLLIN, 0}};
    if (poll(ready, 2, 1000) < 0) return;
    for (int i = 0; i < 2; ++i) {
      if (ready[i].revents == 0) continue;
      char chunk[16384];
      const ssize_t count = recv(i == 0 ? a : b, chunk, sizeof chunk, 0);
      if (count <= 0) return;
      if (!send_all(i == 0 ? b : a, std::string(chunk, static_cast<std::size_t>(count)))) return;
    }
  }
}

inline int connect_to(int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = loopback(port);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0) return fd;
  close(fd);
  return -1;
}

class Deployment {
 public:
  static constexpr int controllers = 3;

  Deployment(const Site& site, const std::string& root)
      : site_(site), root_(root),
        state(controllers, site.rps, site.write_rps, static_cast<std::size_t>(site.value_kb),
              static_cast<std::size_t>(site.txn_ops)),
        cloud(controllers, site.catalog, site.list_lag_s, site.most_machines) {
    char pattern[] = "/tmp/poppystile-review-XXXXXX";
    folder_ = mkdtemp(pattern);
    read_run_command();
    cloud.on_rented = [this](const MachineInfo& machine) { boot(machine); };
    cloud.on_released = [this](const std::string& id) { end_machine(id, "machine released"); };
    for (int i = 0; i < controllers; ++i) {
      nodes.add("stile-" + std::to_string(i), free_port());
      peer_ports_.push_back(free_port());
    }
    for (int from = 0; from < controllers; ++from)
      for (int to = 0; to < controllers; ++to)
        links_.push_back(from == to ? nullptr : std::make_unique<Gate>([this, to](int fd) {
          const int other = connect_to(peer_ports_[static_cast<std::size_t>(to)]);
          if (other < 0) return;
          relay(fd, other);
          close(other);
        }));
    for (int i = 0; i < controllers; ++i) write_settings(i);
    pids_.assign(controllers, 0);
  }

  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  /// Ends all processes and removes the folder. The stand-ins' threads end with this process, so
  /// that a deployment is never destroyed.
  void end() {
    for (int i = 0; i < controllers; ++i) kill(i, SIGKILL);
    std::error_code ignored;
    if (std::getenv("KEEP") == nullptr) std::filesystem::remove_all(folder_, ignored);
  }

  std::string log_path(int i) const { return folder_ + "/" + nodes.names[idx(i)] + ".log"; }
  std::string log(int i) const {
    std::ifstream file(log_path(i));
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
  }

  void start(int i) {
    std::vector<std::string> words = run_;
    words.push_back(folder_ + "/" + nodes.names[idx(i)] + ".json");
    std::vector<char*> arguments;
    for (auto& word : words) arguments.push_back(word.data());
    arguments.push_back(nullptr);
    const std::string log = log_path(i);
    const pid_t parent = getpid();
    const pid_t pid = fork();
    if (pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (getppid() != parent || chdir(root_.c_str()) != 0) _exit(126);
      const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      dup2(fd, 1);
      dup2(fd, 2);
      setenv("LOG_LEVEL", "info", 1);
      execv(arguments[0], arguments.data());
      _exit(127);
    }
    pids_[idx(i)] = pid;
    record().line("controller " + nodes.names[idx(i)] + " started");
  }

  pid_t pid(int i) const { return pids_[idx(i)]; }

  void signal(int i, int number) {
    if (pids_[idx(i)] > 0) ::kill(pids_[idx(i)], number);
  }

  void kill(int i, int number) {
    if (pids_[idx(i)] <= 0) return;
    ::kill(pids_[idx(i)], number);
    if (number == SIGKILL) {
      waitpid(pids_[idx(i)], nullptr, 0);
      pids_[idx(i)] = 0;
    }
  }

  /// Whether the process has ended by itself.
  bool has_ended(int i) {
    int status = 0;
    if (pids_[idx(i)] <= 0 || waitpid(pids_[idx(i)], &status, WNOHANG) == 0) return false;
    pids_[idx(i)] = 0;
    record().line("controller " + nodes.names[idx(i)] + " ENDED BY ITSELF, status " +
                  std::to_string(status));
    return true;
  }

  /// Resident memory, or its peak, in MB; 0 when the process isn't there.
  double memory_mb(int i, const char* field = "VmRSS:") const {
    std::ifstream file("/proc/" + std::to_string(pids_[idx(i)]) + "/status");
    std::string word;
    while (file >> word)
      if (word == field) {
        double kb = 0;
        file >> kb;
        return kb / 1024;
      }
    return 0;
  }

  /// Cuts a controller off from everything: state service, cloud, peers, workers and users.
  void cut(int i) {
    record().line("cut: " + nodes.names[idx(i)] + " loses the network");
    *nodes.cut[idx(i)] = true;
    std::vector<std::thread> threads;
    for (Gate* gate : gates_of(i)) threads.emplace_back([gate] { gate->cut(); });
    for (auto& thread : threads) thread.join();
  }
  void heal(int i) {
    for (Gate* gate : gates_of(i)) gate->heal();
    *nodes.cut[idx(i)] = false;
    record().line("cut: " + nodes.names[idx(i)] + " has the network again");
  }

  /// A user's request at controller `i`.
  Response ask(int i, const std::string& method, const std::string& target,
               const std::string& body, double timeout) {
    if (*nodes.cut[idx(i)]) {
      sleep_s(timeout);
      return {};
    }
    Client client(nodes.ports[idx(i)]);
    return client.call(method, target, body, timeout);
  }

  bool wait_up(int i, double timeout) {
    const double until = now() + timeout;
    while (now() < until) {
      if (ask(i, "GET", "/up", "", 1).status == 200) return true;
      sleep_s(0.1);
    }
    return false;
  }

  /// The leader as the state service has it; -1: none.
  int leader() {
    const auto value = state.value("shared/ctl/leader");
    if (!value) return -1;
    for (int i = 0; i < controllers; ++i)
      if (nodes.names[idx(i)] == value->value("name", "")) return i;
    return -1;
  }

  int wait_leader(double timeout, int but = -1) {
    const double until = now() + timeout;
    while (now() < until) {
      const int found = leader();
      if (found >= 0 && found != but) return found;
      sleep_s(0.02);
    }
    return -1;
  }

  Json submission(const std::string& id, const std::string& shape, int pieces, double cores,
                  double ram) const {
    return {{"id", id}, {"lane", shape == "standing" ? "pull-mirror" : "layer-sweep"},
            {"crew", site_.teams[0]["name"]}, {"shape", shape},
            {"rank", shape == "standing" ? "production" : "normal"}, {"pieces", pieces},
            {"cores", cores}, {"gpus", 0.0}, {"ram_gb", ram}, {"bundle", "img-01"},
            {"pull_gb", 0.4}, {"builds", nullptr}, {"yard", nullptr}, {"one_zone", false},
            {"scatter", false}, {"loaners", false},
            {"guess_s", shape == "standing" ? 0.0 : 25.0}, {"mark_every_s", 0.0},
            {"mark_cost_s", 0.0}, {"due_s", nullptr}};
  }

  void end_machine(const std::string& id, const std::string& why) {
    const std::lock_guard lock(mutex_);
    const auto found = workers_.find(id);
    if (found == workers_.end()) return;
    record().line("machine " + id + ": gone (" + why + ")");
    found->second->end(why);
  }

 private:
  static std::size_t idx(int i) { return static_cast<std::size_t>(i); }

  std::vector<Gate*> gates_of(int i) {
    std::vector<Gate*> gates = {&state.gate(i), &cloud.gate(i)};
    for (int other = 0; other < controllers; ++other) {
      if (other == i) continue;
      gates.push_back(links_[idx(i * controllers + other)].get());
      gates.push_back(links_[idx(other * controllers + i)].get());
    }
    return gates;
  }

  void read_run_command() {
    std::ifstream file(root_ + "/deploy/service.toml");
    std::string line;
    while (std::getline(file, line)) {
      if (line.rfind("run = \"", 0) != 0) continue;
      std::stringstream words(line.substr(7, line.rfind('"') - 7));
      std::string word;
      while (words >> word) run_.push_back(word);
    }
    if (run_.empty() || access((root_ + "/" + run_[0]).c_str(), X_OK) != 0)
      throw std::runtime_error("the program of deploy/service.toml is not built");
  }

  void write_settings(int i) const {
    const auto at = [](int port) { return "127.0.0.1:" + std::to_string(port); };
    Json siblings = Json::array();
    for (int other = 0; other < controllers; ++other)
      if (other != i)
        siblings.push_back({{"member", nodes.names[idx(other)]},
                            {"site", site_.zones[idx(other) % site_.zones.size()]},
                            {"peer_addr", at(links_[idx(i * controllers + other)]->port())}});
    const Json settings = {
        {"member", nodes.names[idx(i)]},
        {"site", site_.zones[idx(i) % site_.zones.size()]},
        {"bind", at(nodes.ports[idx(i)])},
        {"peer_bind", at(peer_ports_[idx(i)])},
        {"siblings", siblings},
        {"services",
         {{"cloud", at(const_cast<Cloud&>(cloud).gate(i).port())},
          {"state", at(const_cast<StateService&>(state).gate(i).port())}}},
        {"settings",
         {{"initial_size", controllers},
          {"zones", site_.zones},
          {"teams", site_.teams},
          {"objectives", Json::array()},
          {"workers", {{"report_s", site_.report_s}, {"lease_s", site_.lease_s},
                       {"gang_wait_s", 40.0}, {"gang_peer_s", 6.0}, {"cancel_s", site_.cancel_s}}},
          {"state", {{"rps", site_.rps}, {"write_rps", site_.write_rps},
                     {"value_kb", site_.value_kb}, {"txn_ops", site_.txn_ops}}},
          {"cloud", {{"rps", site_.cloud_rps}, {"list_lag_s", site_.list_lag_s}}},
          {"machine_limits", {{"core_share", site_.core_share}, {"ram_mb", site_.ram_mb},
                              {"sockets", site_.sockets}}},
          {"time_bound_ms", 100.0}}}};
    std::ofstream(folder_ + "/" + nodes.names[idx(i)] + ".json") << settings.dump(1);
  }

  void boot(const MachineInfo& machine) {
    const std::lock_guard lock(mutex_);
    Json type;
    for (const auto& each : site_.catalog["builds"])
      if (each["sku"] == machine.type) type = each;
    workers_[machine.id] = std::make_unique<Worker>(
        machine, type, WorkerTimes{site_.report_s, site_.lease_s}, nodes, jobs, ledger, ++seed_);
  }

  Site site_;
  std::string root_;
  std::string folder_;
  std::vector<std::string> run_;

 public:
  Nodes nodes;
  StateService state;
  Cloud cloud;
  JobBook jobs;
  Ledger ledger;

 private:
  std::mutex mutex_;
  unsigned seed_ = 0;
  std::map<std::string, std::unique_ptr<Worker>> workers_;
  std::vector<int> peer_ports_;
  std::vector<std::unique_ptr<Gate>> links_;
  std::vector<pid_t> pids_;
};

}  // namespace standin
