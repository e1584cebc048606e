// Stand-in for the workers, as PROTOCOL-poppystile.md describes them, and the ledger of what runs.
#pragma once

#include <map>
#include <memory>
#include <random>

#include "platform.hpp"

namespace standin {

struct WorkerTimes {
  double report_s, lease_s;
};

/// What users uploaded: descriptions of jobs, which workers fetch on their own.
class JobBook {
 public:
  struct Job {
    Json spec;
    double run_s = 0;  // 0: runs until it is stopped.
  };
  void add(const Json& spec, double run_s) {
    const std::lock_guard lock(mutex_);
    jobs_[spec.at("id").get<std::string>()] = {spec, run_s};
  }
  std::optional<Job> find(const std::string& id) {
    const std::lock_guard lock(mutex_);
    const auto found = jobs_.find(id);
    if (found == jobs_.end()) return std::nullopt;
    return found->second;
  }

 private:
  std::mutex mutex_;
  std::map<std::string, Job> jobs_;
};

/// Which task is on which machine, from the moment it has its image until it is off.
class Ledger {
 public:
  struct Event {
    double at;
    std::string piece, machine, what;
  };
  void on(const std::string& piece, const std::string& machine) {
    const std::lock_guard lock(mutex_);
    for (const auto& other : where_[piece])
      if (other != machine) {
        twice_ = true;
        record().line("ledger: RAN TWICE " + piece + " starts on " + machine + " while on " +
                      other);
      }
    where_[piece].insert(machine);
    events_.push_back({now(), piece, machine, "on"});
    record().line("ledger: " + piece + " is on " + machine);
  }
  void off(const std::string& piece, const std::string& machine, const std::string& why) {
    const std::lock_guard lock(mutex_);
    if (where_[piece].erase(machine) == 0) return;
    events_.push_back({now(), piece, machine, why});
    record().line("ledger: " + piece + " is off " + machine + " (" + why + ")");
  }
  bool is_on(const std::string& piece, const std::string& machine) {
    const std::lock_guard lock(mutex_);
    return where_[piece].contains(machine);
  }
  std::set<std::string> machines_of(const std::string& piece) {
    const std::lock_guard lock(mutex_);
    return where_[piece];
  }
  bool ran_twice() {
    const std::lock_guard lock(mutex_);
    return twice_;
  }
  std::vector<Event> events() {
    const std::lock_guard lock(mutex_);
    return events_;
  }

 private:
  std::mutex mutex_;
  bool twice_ = false;
  std::map<std::string, std::set<std::string>> where_;
  std::vector<Event> events_;
};

/// The addresses of the controllers, and which of them workers and users can't reach at present.
struct Nodes {
  std::vector<std::string> names;
  std::vector<int> ports;
  std::vector<std::unique_ptr<std::atomic<bool>>> cut;
  void add(const std::string& name, int port) {
    names.push_back(name);
    ports.push_back(port);
    cut.push_back(std::make_unique<std::atomic<bool>>(false));
  }
};

/// One machine with its worker.
class Worker {
 public:
  Worker(MachineInfo machine, const Json& type, WorkerTimes times, const Nodes& nodes,
         JobBook& jobs, Ledger& ledger, unsigned seed)
      : machine_(std::move(machine)), type_(type), times_(times), nodes_(nodes), jobs_(jobs),
        ledger_(ledger), random_(seed), node_(seed % nodes.names.size()) {
    session_began_ = lease_from_ = now();
    std::thread([this] { task_loop(); }).detach();
    std::thread([this] { report_loop(); }).detach();
  }

  /// The machine is gone with all that is on it.
  void end(const std::string& why) {
    const std::lock_guard lock(mutex_);
    if (gone_) return;
    gone_ = true;
    for (const auto& [key, task] : tasks_)
      if (task.on) ledger_.off(key.first, machine_.id, why);
    tasks_.clear();
  }

 private:
  using Key = std::pair<std::string, std::uint64_t>;  // Task and attempt.
  struct Task {
    std::string stage = "pulling";
    std::string cause;
    std::string image;
    double ready_at = 0;  // When the image is there.
    double run_s = 0;
    double started_at = 0;
    double cores = 0, ram = 0;
    bool on = false;
  };

  void task_loop() {
    while (true) {
      sleep_s(0.01);
      const std::lock_guard lock(mutex_);
      if (gone_) return;
      if (now() - lease_from_ > times_.lease_s) end_session();
      for (auto& [key, task] : tasks_) advance(key, task);
    }
  }

  void end_session() {
    record().line("worker " + machine_.id + ": lease ended, session " +
                  std::to_string(shift_ + 1) + " begins");
    for (const auto& [key, task] : tasks_)
      if (task.on) ledger_.off(key.first, machine_.id, "lease ended");
    tasks_.clear();
    ++shift_;
    lease_from_ = now();
    changed_ = true;
  }

  void advance(const Key& key, Task& task) {
    if (task.stage == "pulling" && now() >= task.ready_at) {
      images_.insert(task.image);
      task.stage = "running";
      task.started_at = now();
      task.on = true;
      ledger_.on(key.first, machine_.id);
      changed_ = true;
    } else if (task.stage == "running" && task.run_s > 0 &&
               now() - task.started_at >= task.run_s) {
      finish(key, task, "done");
    }
  }

  void finish(const Key& key, Task& task, const std::string& cause) {
    if (task.on) ledger_.off(key.first, machine_.id, cause);
    task.on = false;
    task.stage = "exited";
    task.cause = cause;
    changed_ = true;
  }

  std::string report() {
    const std::lock_guard lock(mutex_);
    Json pieces = Json::array();
    for (const auto& [key, task] : tasks_) {
      Json item = {{"piece", key.first}, {"try", key.second}, {"stage", task.stage}};
      if (task.stage == "exited") item["cause"] = task.cause;
      pieces.push_back(std::move(item));
    }
    changed_ = false;
    sent_shift_ = shift_;
    return Json{{"stile", machine_.id}, {"addr", "127.0.0.1:1"}, {"build", machine_.type},
                {"yard", machine_.zone}, {"loaners", machine_.spot}, {"shift", shift_},
                {"tick", ++tick_}, {"baton", baton_}, {"recall_s", nullptr}, {"pieces", pieces}}
        .dump();
  }

  void report_loop() {
    std::uniform_real_distribution<double> jitter(0.75, 1.25);
    double last_sent = -1;
    std::unique_ptr<Client> client;
    std::size_t connected_to = 0;
    while (true) {
      const double due = last_sent + times_.report_s * jitter(random_);
      while (now() < due && !(changed_ && now() - last_sent >= 0.5)) sleep_s(0.005);
      if (gone_) return;
      if (!client || connected_to != node_) {
        client = std::make_unique<Client>(nodes_.ports[node_]);
        connected_to = node_;
      }
      last_sent = now();
      const std::string body = report();
      Response response;
      if (*nodes_.cut[node_])
        sleep_s(4);
      else
        response = client->call("POST", "/agent/beat", body, 4);
      if (*nodes_.cut[node_]) response = {};
      if (gone_) return;
      if (response.status == 200) {
        take(response.body, last_sent);
      } else {
        client.reset();
        go_on(response);
      }
    }
  }

  /// Chooses the node for the next report after any answer but 200.
  void go_on(const Response& response) {
    if (response.status == 421) {
      const Json body = Json::parse(response.body, nullptr, false);
      const std::string name = body.is_object() ? body.value("foreman", "") : "";
      for (std::size_t i = 0; i < nodes_.names.size(); ++i)
        if (nodes_.names[i] == name && i != node_) {
          node_ = i;
          changed_ = true;
          return;
        }
    }
    node_ = (node_ + 1) % nodes_.names.size();
    sleep_s(1);
    changed_ = true;
  }

  void take(const std::string& text, double sent_at) {
    const Json body = Json::parse(text, nullptr, false);
    const std::lock_guard lock(mutex_);
    if (gone_ || sent_shift_ != shift_) return;
    if (!body.is_object() || !body.contains("baton")) return;
    const auto baton = body["baton"].get<std::uint64_t>();
    if (baton < baton_) return;
    if (baton > baton_ && now() - token_changed_at_ > times_.lease_s / 2) {
      changed_ = true;
      token_changed_at_ = now();
    }
    baton_ = baton;
    lease_from_ = sent_at;
    for (const auto& order : body.value("orders", Json::array())) execute(order);
  }

  void execute(const Json& order) {
    const std::string verb = order.at("verb");
    const Key key{order.at("piece"), order.at("try")};
    const auto found = tasks_.find(key);
    if (verb == "start" && found == tasks_.end()) start(key);
    if (verb == "stop" && found != tasks_.end() && found->second.stage != "exited")
      finish(key, found->second, "halted");
    if (verb == "reap" && found != tasks_.end() && found->second.stage == "exited")
      tasks_.erase(found);
  }

  void start(const Key& key) {
    changed_ = true;
    Task task;
    const auto slash = key.first.rfind('/');
    const auto job = jobs_.find(key.first.substr(0, slash));
    double cores = 0;
    double ram = 0;
    bool busy = false;
    for (const auto& [other, there] : tasks_) {
      if (there.stage == "exited") continue;
      cores += there.cores;
      ram += there.ram;
      busy = busy || other.first == key.first;
    }
    task.stage = "exited";
    if (!job) {
      task.cause = "unknown";
    } else if (busy) {
      task.cause = "busy";
    } else if (cores + job->spec.at("cores").get<double>() > type_.at("cores").get<double>() ||
               ram + job->spec.at("ram_gb").get<double>() > type_.at("ram_gb").get<double>()) {
      task.cause = "no_room";
    } else {
      task.stage = "pulling";
      task.image = job->spec.at("bundle");
      task.cores = job->spec.at("cores");
      task.ram = job->spec.at("ram_gb");
      task.run_s = job->run_s;
      task.ready_at = now() + (images_.contains(task.image)
                                   ? 0
                                   : job->spec.at("pull_gb").get<double>() /
                                         type_.at("fetch_gb_per_s").get<double>());
    }
    tasks_[key] = task;
  }

  MachineInfo machine_;
  Json type_;
  WorkerTimes times_;
  const Nodes& nodes_;
  JobBook& jobs_;
  Ledger& ledger_;
  std::mt19937 random_;
  std::size_t node_;
  std::mutex mutex_;
  std::map<Key, Task> tasks_;
  std::set<std::string> images_;
  std::uint64_t shift_ = 1, sent_shift_ = 1, tick_ = 0, baton_ = 0;
  double session_began_ = 0, lease_from_ = 0, token_changed_at_ = -1000;
  std::atomic<bool> changed_ = true, gone_ = false;
};

}  // namespace standin
