/// \file
/// Three controllers as separate processes, with the stand-ins around them, and users' calls.
#pragma once

#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <fstream>
#include <sstream>

#include "fleet.hpp"
#include "state_service.hpp"

namespace review {

/// A TCP relay between two controllers that can cut the connection: nothing passes while it is cut.
class Relay {
 public:
  explicit Relay(int to) : port_(free_port()), to_(to), fd_(listen_on(port_)) {
    std::thread([this] { accept_all(); }).detach();
  }
  int port() const { return port_; }
  std::atomic<bool> cut{false};

 private:
  void accept_all() {
    while (true) {
      const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        sleep_s(0.01);
        continue;
      }
      std::thread([this, fd] {
        while (cut) sleep_s(0.01);
        const int out = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address = loopback(to_);
        if (connect(out, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0) {
          std::thread([this, fd, out] { pump(out, fd); }).detach();
          pump(fd, out);
        } else {
          shutdown(fd, SHUT_RDWR);
        }
        // The other direction may still use the descriptors: they stay open until the run ends.
      }).detach();
    }
  }
  void pump(int from, int to) {
    char data[16384];
    while (true) {
      const ssize_t count = recv(from, data, sizeof data, 0);
      while (cut) sleep_s(0.01);
      if (count <= 0 || !write_all(to, std::string(data, static_cast<std::size_t>(count)))) break;
    }
    shutdown(from, SHUT_RDWR);
    shutdown(to, SHUT_RDWR);
  }
  int port_, to_, fd_;
};

struct Options {
  double report_s = 1, lease_s = 10, cancel_s = 35;
  double rps = 250, write_rps = 40;
  int txn_ops = 32, value_kb = 8;
  double cloud_rps = 6, list_lag_s = 3;
  int sockets = 600, capacity = 16;
  double gang_wait_s = 40, gang_peer_s = 6;
  std::vector<std::string> zones{"alex-hall", "giza-hall"};
  Json teams = Json::array({{{"name", "registry-ops"}, {"cpus", 0.0}, {"cpus_max", 0.0}, {"gpus", 0.0}, {"gpus_max", 0.0}}});
  std::vector<Cloud::Type> types{{"nile-16", 16, 128, 3, {"alex-hall", "giza-hall"}}};
};

class Deployment {
 public:
  Deployment(std::string command, std::string folder, Options options)
      : options_(std::move(options)), state(3, options_.rps, options_.write_rps, options_.txn_ops, options_.value_kb),
        checker(book, options_.teams, options_.cancel_s), command_(std::move(command)),
        folder_(std::move(folder)) {
    for (int i = 0; i < 3; ++i) {
      ports.push_back(free_port());
      peer_ports_.push_back(free_port());
      names.push_back("stile-" + std::to_string(i));
    }
    for (int i = 0; i < 3; ++i)
      for (int j = 0; j < 3; ++j) relays[i][j] = std::make_unique<Relay>(peer_ports_[j]);
    cloud = std::make_unique<Cloud>(
        options_.types, options_.capacity, options_.list_lag_s,
        [this](const std::string& id, const Cloud::Type& type, const std::string& yard, bool loaners) {
          return std::make_shared<Worker>(id, type.sku, type.cores, type.ram_gb, yard, loaners,
                                          WorkerSettings{options_.report_s, options_.lease_s, 1.0}, ports, names,
                                          book, checker, hooks, static_cast<unsigned>(std::hash<std::string>{}(id)));
        });
    for (int i = 0; i < 3; ++i) write_settings(i);
    std::thread([this] {
      while (true) {
        sleep_s(0.05);
        checker.check_cancelled();
      }
    }).detach();
  }
  ~Deployment() {
    for (int i = 0; i < 3; ++i) stop(i, SIGKILL);
  }

  Options options_;

  /// Starts the process from a thread that lives as long as this program: the process is killed
  /// when the thread that started it ends.
  void start(int i) {
    std::unique_lock<std::mutex> lock(spawn_mutex_);
    if (!spawner_.joinable()) spawner_ = std::thread([this] { spawn_forever(); });
    to_start_ = i;
    spawn_changed_.notify_all();
    spawn_changed_.wait(lock, [this] { return to_start_ < 0; });
  }
  void start_now(int i) {
    // Nothing is allocated between fork and exec, since other threads may hold the allocator's lock.
    const std::string log = folder_ + "/" + names[i] + ".log";
    std::vector<std::string> words;
    std::istringstream text(command_);
    for (std::string word; text >> word;) words.push_back(word);
    words.push_back(folder_ + "/" + names[i] + ".json");
    std::vector<char*> arguments;
    for (auto& word : words) arguments.push_back(word.data());
    arguments.push_back(nullptr);
    const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    const pid_t pid = fork();
    if (pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      dup2(fd, 2);
      execv(arguments[0], arguments.data());
      _exit(127);
    }
    close(fd);
    pids_[i] = pid;
    RECORD("controller starts name=%s", names[i].c_str());
  }
  void start_all() {
    for (int i = 0; i < 3; ++i) start(i);
  }
  /// Ends the process and waits for its end.
  void stop(int i, int signal) {
    if (pids_[i] <= 0) return;
    kill(pids_[i], SIGCONT);
    kill(pids_[i], signal);
    waitpid(pids_[i], nullptr, 0);
    pids_[i] = 0;
    RECORD("controller ended name=%s", names[i].c_str());
  }
  void pause(int i) {
    if (pids_[i] > 0) kill(pids_[i], SIGSTOP);
    RECORD("controller stopped name=%s", names[i].c_str());
  }
  void unpause(int i) {
    if (pids_[i] > 0) kill(pids_[i], SIGCONT);
    RECORD("controller continued name=%s", names[i].c_str());
  }
  /// Whether the process has ended by itself.
  bool has_crashed(int i) {
    if (pids_[i] <= 0) return false;
    int status = 0;
    if (waitpid(pids_[i], &status, WNOHANG) != pids_[i]) return false;
    RECORD("controller ended by itself name=%s status=%d", names[i].c_str(), status);
    pids_[i] = 0;
    return true;
  }
  /// Memory that the process holds for itself, in MB (without pages of files).
  double memory_mb(int i) const {
    std::ifstream file("/proc/" + std::to_string(pids_[i]) + "/status");
    for (std::string line; std::getline(file, line);)
      if (line.rfind("RssAnon:", 0) == 0) return std::atof(line.c_str() + 8) / 1024;
    return 0;
  }
  bool running(int i) const { return pids_[i] > 0; }

  /// The controller that the state service names as leader; -1 if none.
  int leader() {
    const Json record = state.value("shared/ctl/leader");
    if (!record.is_object()) return -1;
    for (int i = 0; i < 3; ++i)
      if (record.value("name", "") == names[i]) return i;
    return -1;
  }
  int wait_for_leader(double timeout) {
    const double until = now_s() + timeout;
    while (now_s() < until) {
      if (const int i = leader(); i >= 0) return i;
      sleep_s(0.02);
    }
    return -1;
  }
  bool wait_until_up(double timeout) {
    const double until = now_s() + timeout;
    while (now_s() < until) {
      int up = 0;
      for (int i = 0; i < 3; ++i) up += HttpClient(ports[i]).call("GET", "/up", "", 1).status == 200;
      if (up == 3 && leader() >= 0 && state.value("shared/catalog").is_object()) return true;
      sleep_s(0.1);
    }
    return false;
  }

  // --- users ---
  static Json job(const std::string& id, const std::string& shape, int pieces, double cores) {
    return Json{{"id", id}, {"lane", shape == "standing" ? "pull-mirror" : "layer-sweep"}, {"crew", "registry-ops"},
                {"shape", shape}, {"rank", shape == "standing" ? "production" : "normal"}, {"pieces", pieces},
                {"cores", cores}, {"gpus", 0.0}, {"ram_gb", 2.0}, {"bundle", "img-1"}, {"pull_gb", 0.3},
                {"builds", nullptr}, {"yard", nullptr}, {"one_zone", false}, {"scatter", false}, {"loaners", true},
                {"guess_s", shape == "standing" ? 0.0 : 5.0}, {"mark_every_s", 0.0}, {"mark_cost_s", 0.0},
                {"due_s", nullptr}};
  }
  /// Uploads the description for the workers; call before submitting.
  void describe(const Json& spec, double run_s, bool fails = false) {
    const std::lock_guard<std::mutex> lock(book.mutex);
    JobBook::Job& entry = book.jobs[spec["id"]];
    entry.spec = spec;
    entry.run_s = run_s;
    entry.fails = fails;
  }
  Response submit(int node, const Json& spec, double timeout = 5) {
    const double sent = now_s();
    const Response response = HttpClient(ports[node]).call("POST", "/submissions", spec.dump(), timeout);
    RECORD("submit id=%s node=%d sent=%.3f status=%d %s", spec["id"].get<std::string>().c_str(), node, sent,
           response.status, response.body.c_str());
    return response;
  }
  Response show(int node, const std::string& id, double timeout = 2) {
    const double sent = now_s();
    const Response response = HttpClient(ports[node]).call("GET", "/submissions/" + id, "", timeout);
    RECORD("show id=%s node=%d sent=%.3f status=%d %s", id.c_str(), node, sent, response.status, response.body.c_str());
    return response;
  }
  Response cancel(int node, const std::string& id, double timeout = 5) {
    const double sent = now_s();
    const Response response = HttpClient(ports[node]).call("POST", "/submissions/" + id + "/cancel", "", timeout);
    RECORD("cancel id=%s node=%d sent=%.3f status=%d %s", id.c_str(), node, sent, response.status, response.body.c_str());
    if (response.status == 200 && stage_of(response) == "aborted") {
      const std::lock_guard<std::mutex> lock(book.mutex);
      auto& told = book.jobs[id].told_cancelled;
      if (told < 0) told = now_s();
    }
    return response;
  }
  static std::string stage_of(const Response& response) {
    const Json body = Json::parse(response.body, nullptr, false);
    return body.is_object() ? body.value("stage", "") : "";
  }
  /// Repeats the submission until it is accepted.
  bool submit_until_accepted(const Json& spec, double timeout = 60) {
    const double until = now_s() + timeout;
    for (int node = 0; now_s() < until; node = (node + 1) % 3) {
      const int status = submit(node, spec).status;
      if (status == 200 || status == 201) return true;
      sleep_s(1);
    }
    return false;
  }

  JobBook book;
  Worker::Hooks hooks;
  StateService state;
  Checker checker;
  std::unique_ptr<Cloud> cloud;
  std::vector<int> ports;
  std::vector<std::string> names;
  std::unique_ptr<Relay> relays[3][3];  // From the first controller to the second.

 private:
  void write_settings(int i) {
    Json siblings = Json::array();
    for (int j = 0; j < 3; ++j)
      if (j != i)
        siblings.push_back({{"member", names[j]}, {"site", options_.zones[j % options_.zones.size()]},
                            {"peer_addr", "127.0.0.1:" + std::to_string(relays[i][j]->port())}});
    const Json settings{
        {"member", names[i]}, {"site", options_.zones[i % options_.zones.size()]},
        {"bind", "127.0.0.1:" + std::to_string(ports[i])},
        {"peer_bind", "127.0.0.1:" + std::to_string(peer_ports_[i])}, {"siblings", siblings},
        {"services", {{"cloud", "127.0.0.1:" + std::to_string(cloud->port())},
                      {"state", "127.0.0.1:" + std::to_string(state.ports[i])}}},
        {"settings",
         {{"initial_size", 0}, {"zones", options_.zones}, {"teams", options_.teams}, {"objectives", Json::array()},
          {"workers", {{"report_s", options_.report_s}, {"lease_s", options_.lease_s},
                       {"gang_wait_s", options_.gang_wait_s}, {"gang_peer_s", options_.gang_peer_s},
                       {"cancel_s", options_.cancel_s}}},
          {"state", {{"rps", options_.rps}, {"write_rps", options_.write_rps}, {"value_kb", options_.value_kb},
                     {"txn_ops", options_.txn_ops}}},
          {"cloud", {{"rps", options_.cloud_rps}, {"list_lag_s", options_.list_lag_s}}},
          {"machine_limits", {{"core_share", 0.12}, {"ram_mb", 56.0}, {"sockets", options_.sockets}}},
          {"time_bound_ms", 100.0}}}};
    std::ofstream(folder_ + "/" + names[i] + ".json") << settings.dump(1);
  }

  void spawn_forever() {
    std::unique_lock<std::mutex> lock(spawn_mutex_);
    while (true) {
      spawn_changed_.wait(lock, [this] { return to_start_ >= 0; });
      start_now(to_start_);
      to_start_ = -1;
      spawn_changed_.notify_all();
    }
  }

  std::mutex spawn_mutex_;
  std::condition_variable spawn_changed_;
  std::thread spawner_;
  int to_start_ = -1;
  std::string command_, folder_;
  std::vector<int> peer_ports_;
  pid_t pids_[3] = {0, 0, 0};
};

}  // namespace review
