/// \file
/// Workers and the cloud, after PROTOCOL-poppystile.md, and a checker of the rules on where tasks
/// run. The checker sees only what machines do.
#pragma once

#include <cmath>

#include "common.hpp"

namespace review {

/// What users have submitted: workers fetch a job's description from here.
struct JobBook {
  struct Job {
    Json spec;
    double run_s = 1;
    bool fails = false;            // The job was submitted with a mistake.
    std::uint32_t long_from = ~0u; // Tasks from this index on run for `long_run_s`.
    double long_run_s = 0;
    double told_cancelled = -1;    // When a user was told that the job is cancelled.
  };
  std::mutex mutex;
  std::map<std::string, Job> jobs;
};

/// Follows which task is on which machine, and notes broken rules.
class Checker {
 public:
  Checker(JobBook& book, Json teams, double cancel_s)
      : book_(book), teams_(std::move(teams)), cancel_s_(cancel_s) {}

  /// The task has its image on the machine from now on.
  void on_start(const std::string& piece, const std::string& stile, std::uint64_t attempt,
                const std::string& build, const std::string& yard, bool loaners) {
    const std::lock_guard<std::mutex> lock(mutex_);
    RECORD("task starts piece=%s machine=%s try=%llu", piece.c_str(), stile.c_str(),
           static_cast<unsigned long long>(attempt));
    ++starts;
    auto& on = where_[piece];
    for (const auto& [other, zone] : on)
      if (other != stile) broken("ran_twice", piece + " starts on " + stile + " while on " + other);
    const std::string job = piece.substr(0, piece.rfind('/'));
    Json spec;
    double told = -1;
    {
      const std::lock_guard<std::mutex> book_lock(book_.mutex);
      const auto found = book_.jobs.find(job);
      if (found != book_.jobs.end()) {
        spec = found->second.spec;
        told = found->second.told_cancelled;
      }
    }
    if (told >= 0 && now_s() > told + cancel_s_) broken("ran_cancelled", piece + " starts");
    if (spec.is_object()) {
      if (loaners && !spec.value("loaners", false)) broken("wrong_place", piece + " on a spot machine");
      if (spec["yard"].is_string() && spec["yard"] != yard) broken("wrong_place", piece + " in " + yard);
      if (spec["builds"].is_array() &&
          std::find(spec["builds"].begin(), spec["builds"].end(), Json(build)) == spec["builds"].end())
        broken("wrong_place", piece + " on " + build);
      std::map<std::string, int> zones;
      for (const auto& [other_piece, places] : where_)
        if (other_piece != piece && other_piece.rfind(job + "/", 0) == 0)
          for (const auto& [machine, zone] : places) ++zones[zone];
      if (spec.value("one_zone", false))
        for (const auto& [zone, count] : zones)
          if (zone != yard) broken("wrong_place", piece + " in " + yard + " beside " + zone);
      const int pieces = spec.value("pieces", 1);
      if (spec.value("scatter", false) && zones[yard] + 1 > (pieces + 1) / 2)
        broken("wrong_place", piece + " scatter");
      const std::string team = spec["crew"];
      used_[team] += spec["cores"].get<double>();
      for (const Json& each : teams_)
        if (each["name"] == team && each.value("cpus_max", 0.0) > 0 &&
            used_[team] > each["cpus_max"].get<double>() + 1e-6)
          broken("quota", team + " uses " + std::to_string(used_[team]));
    }
    on[stile] = yard;
  }
  void on_end(const std::string& piece, const std::string& stile, const char* why) {
    const std::lock_guard<std::mutex> lock(mutex_);
    RECORD("task ends piece=%s machine=%s why=%s", piece.c_str(), stile.c_str(), why);
    auto found = where_.find(piece);
    if (found == where_.end() || found->second.erase(stile) == 0) return;
    const std::lock_guard<std::mutex> book_lock(book_.mutex);
    const auto job = book_.jobs.find(piece.substr(0, piece.rfind('/')));
    if (job != book_.jobs.end())
      used_[job->second.spec["crew"]] -= job->second.spec["cores"].get<double>();
    if (std::string(why) == "done") done_.insert(piece);
  }
  /// Call from time to time: finds tasks of cancelled jobs that are still on a machine.
  void check_cancelled() {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const auto& [piece, places] : where_) {
      if (places.empty() || reported_.contains(piece)) continue;
      const std::lock_guard<std::mutex> book_lock(book_.mutex);
      const auto job = book_.jobs.find(piece.substr(0, piece.rfind('/')));
      if (job == book_.jobs.end() || job->second.told_cancelled < 0) continue;
      if (now_s() > job->second.told_cancelled + cancel_s_) {
        reported_.insert(piece);
        broken("ran_cancelled", piece + " is on " + places.begin()->first);
      }
    }
  }
  bool is_anywhere(const std::string& piece) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = where_.find(piece);
    return found != where_.end() && !found->second.empty();
  }
  std::string machine_of(const std::string& piece) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = where_.find(piece);
    return found == where_.end() || found->second.empty() ? "" : found->second.begin()->first;
  }
  bool is_done(const std::string& piece) {
    const std::lock_guard<std::mutex> lock(mutex_);
    return done_.contains(piece);
  }
  void broken(const std::string& rule, const std::string& text) {
    RECORD("BROKEN %s: %s", rule.c_str(), text.c_str());
    ++violations;
    const std::lock_guard<std::mutex> lock(rules_mutex_);
    rules_[rule].push_back(text);
  }
  int count(const std::string& rule) {
    const std::lock_guard<std::mutex> lock(rules_mutex_);
    return static_cast<int>(rules_[rule].size());
  }

  std::atomic<int> violations{0};
  std::atomic<int> starts{0};

 private:
  JobBook& book_;
  Json teams_;
  double cancel_s_;
  std::mutex mutex_, rules_mutex_;
  std::map<std::string, std::map<std::string, std::string>> where_;  // Piece -> machine -> zone.
  std::map<std::string, double> used_;
  std::set<std::string> done_, reported_;
  std::map<std::string, std::vector<std::string>> rules_;
};

struct WorkerSettings {
  double report_s = 1, lease_s = 10, fetch_gb_per_s = 1;
};

/// One machine with its worker.
class Worker {
 public:
  struct Hooks {
    /// Whether the machine reaches this controller.
    std::function<bool(const std::string& stile, int node)> reaches;
    /// Copies of reports and other faults of the caller's: sees every report that is sent.
    std::function<void(const std::string& stile, int node, const std::string& report)> sees_report;
    /// Whether the answer is lost on its way to the machine.
    std::function<bool(const std::string& stile, int node)> loses_answer;
  };

  Worker(std::string stile, std::string build, double cores, double ram_gb, std::string yard,
         bool loaners, WorkerSettings settings, const std::vector<int>& nodes,
         const std::vector<std::string>& node_names, JobBook& book, Checker& checker, Hooks& hooks,
         unsigned seed)
      : stile_(std::move(stile)), build_(std::move(build)), cores_(cores), ram_gb_(ram_gb),
        yard_(std::move(yard)), loaners_(loaners), settings_(settings), nodes_(nodes),
        node_names_(node_names), book_(book), checker_(checker), hooks_(hooks), random_(seed) {
    session_began_ = now_s();
    port_ = free_port();
    node_ = static_cast<int>(random_() % nodes_.size());
    std::thread([this] { advance_forever(); }).detach();
    std::thread([this] { report_forever(); }).detach();
  }

  const std::string& stile() const { return stile_; }
  const std::string& yard() const { return yard_; }

  /// The machine stops with all that is on it.
  void die(const char* why) {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (dead_) return;
    dead_ = true;
    RECORD("machine gone id=%s why=%s", stile_.c_str(), why);
    for (auto& [key, task] : tasks_)
      if (task.on_machine) leave(key, task, "machine gone");
    tasks_.clear();
  }
  /// The machine executes nothing until `resume`.
  void hang() {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (hung_ || dead_) return;
    hung_ = true;
    hung_since_ = now_s();
    RECORD("machine hangs id=%s", stile_.c_str());
  }
  void resume() {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (!hung_) return;
    hung_ = false;
    const double paused = now_s() - hung_since_;
    for (auto& [key, task] : tasks_) {
      task.ready_at += paused;
      task.ends_at += paused;
    }
    RECORD("machine resumes id=%s after=%.1f", stile_.c_str(), paused);
    end_session_if_due();
  }
  void recall(double in_s) {
    const std::lock_guard<std::mutex> lock(mutex_);
    recalled_at_ = now_s() + in_s;
    changed_ = true;
  }
  bool dead() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return dead_;
  }
  std::uint64_t baton() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return baton_;
  }
  std::uint64_t shift() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return shift_;
  }
  int node() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return node_;
  }

 private:
  using Key = std::pair<std::string, std::uint64_t>;
  struct Task {
    std::string stage, cause;
    bool stored = false;
    bool on_machine = false;
    double ready_at = 0, ends_at = 0;
    double cores = 0, ram_gb = 0;
    bool fails = false;
  };

  void leave(const Key& key, Task& task, const char* why) {
    task.on_machine = false;
    checker_.on_end(key.first, stile_, why);
  }
  void exit_task(const Key& key, Task& task, const std::string& cause) {
    if (task.on_machine) leave(key, task, cause.c_str());
    task.stage = "exited";
    task.cause = cause;
    changed_ = true;
  }
  void end_session_if_due() {
    const double last = std::max(session_began_, last_answered_sent_);
    if (now_s() - last <= settings_.lease_s) return;
    RECORD("lease ends machine=%s shift=%llu", stile_.c_str(), static_cast<unsigned long long>(shift_));
    for (auto& [key, task] : tasks_)
      if (task.on_machine) leave(key, task, "lease ended");
    tasks_.clear();
    ++shift_;
    session_began_ = now_s();
    last_answered_sent_ = -1;
    changed_ = true;
  }
  void advance() {
    if (dead_) return;
    // A hanging machine may go on within its lease only: at its end the tasks are gone.
    end_session_if_due();
    if (hung_) return;
    const double now = now_s();
    for (auto& [key, task] : tasks_) {
      if (task.stage == "pulling" && now >= task.ready_at) {
        task.stage = "running";
        task.on_machine = true;
        changed_ = true;
        images_.insert(image_of(key.first));
        checker_.on_start(key.first, stile_, key.second, build_, yard_, loaners_);
      }
      if (task.stage == "running" && now >= task.ends_at) exit_task(key, task, task.fails ? "error" : "done");
    }
  }
  std::string image_of(const std::string& piece) {
    const std::lock_guard<std::mutex> lock(book_.mutex);
    const auto found = book_.jobs.find(piece.substr(0, piece.rfind('/')));
    return found == book_.jobs.end() ? "" : found->second.spec["bundle"].get<std::string>();
  }
  void advance_forever() {
    while (true) {
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (dead_) return;
        advance();
      }
      sleep_s(0.01);
    }
  }

  std::string make_report() {
    Json pieces = Json::array();
    for (const auto& [key, task] : tasks_) {
      Json item{{"piece", key.first}, {"try", key.second}, {"stage", task.stage}};
      if (task.stage == "exited") item["cause"] = task.cause;
      if (task.stored) item["stored"] = true;
      pieces.push_back(std::move(item));
    }
    Json report{{"stile", stile_}, {"addr", "127.0.0.1:" + std::to_string(port_)}, {"build", build_},
                {"yard", yard_}, {"loaners", loaners_}, {"shift", shift_}, {"tick", ++tick_},
                {"baton", baton_}, {"recall_s", nullptr}, {"pieces", pieces}};
    if (recalled_at_ > 0) report["recall_s"] = std::max(0.0, recalled_at_ - now_s());
    return report.dump();
  }

  void report_forever() {
    std::uniform_real_distribution<double> jitter(0.75, 1.25);
    std::unique_ptr<HttpClient> connection;
    int connected_to = -1;
    double next = now_s() + 0.2 * jitter(random_);
    double last_sent = -1;
    while (true) {
      while (true) {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (dead_) return;
        if (!hung_ && (now_s() >= next || (changed_ && now_s() >= last_sent + 0.5 && now_s() >= wait_until_))) break;
        sleep_s(0.005);
      }
      std::string report;
      std::uint64_t shift = 0;
      int node = 0;
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        advance();
        changed_ = false;
        report = make_report();
        shift = shift_;
        node = node_;
      }
      last_sent = now_s();
      next = last_sent + settings_.report_s * jitter(random_);
      if (hooks_.sees_report) hooks_.sees_report(stile_, node, report);
      Response response;
      const bool reaches = !hooks_.reaches || hooks_.reaches(stile_, node);
      if (reaches) {
        if (connected_to != node || !connection) connection = std::make_unique<HttpClient>(nodes_[node]);
        connected_to = node;
        response = connection->call("POST", "/agent/beat", report, 4.0);
        if (response.status != 0 && hooks_.loses_answer && hooks_.loses_answer(stile_, node)) {
          response = {};
          connection.reset();
          sleep_s(last_sent + 4.0 - now_s());
        }
      } else {
        connection.reset();
        sleep_s(4.0);
      }
      // A machine that hung meanwhile sees an answer only if it is still in time.
      while (true) {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (dead_) return;
        if (!hung_) break;
        sleep_s(0.005);
      }
      const std::lock_guard<std::mutex> lock(mutex_);
      advance();
      if (now_s() - last_sent > 4.0) response.status = 0;
      if (response.status == 200) {
        accept(response, shift, last_sent);
      } else if (response.status == 421) {
        const Json body = Json::parse(response.body, nullptr, false);
        const std::string foreman = body.is_object() ? body.value("foreman", "") : "";
        const auto named = std::find(node_names_.begin(), node_names_.end(), foreman);
        connection.reset();
        if (named != node_names_.end() && named - node_names_.begin() != node) {
          node_ = static_cast<int>(named - node_names_.begin());
          next = now_s() + 0.25 * jitter(random_);
        } else {
          node_ = (node + 1) % static_cast<int>(nodes_.size());
          next = now_s() + 1;
        }
        wait_until_ = next;
      } else {
        connection.reset();
        node_ = (node + 1) % static_cast<int>(nodes_.size());
        next = now_s() + 1;
        wait_until_ = next;
      }
    }
  }

  void accept(const Response& response, std::uint64_t shift, double sent) {
    const Json body = Json::parse(response.body, nullptr, false);
    if (!body.is_object() || !body.contains("baton")) return;
    const std::uint64_t baton = body["baton"];
    if (shift != shift_ || baton < baton_) return;
    if (baton > baton_) {
      baton_ = baton;
      changed_ = true;
    }
    last_answered_sent_ = sent;
    for (const Json& order : body["orders"]) execute(order);
  }

  void execute(const Json& order) {
    const std::string verb = order["verb"];
    const Key key{order["piece"], order["try"]};
    const auto found = tasks_.find(key);
    if (verb == "start") {
      if (found == tasks_.end()) start(key);
    } else if (verb == "reap") {
      if (found != tasks_.end() && found->second.stage == "exited") tasks_.erase(found);
    } else if (verb == "stop" && found != tasks_.end() && found->second.stage != "exited") {
      exit_task(key, found->second, "halted");
    }
  }

  void start(const Key& key) {
    Task task;
    const std::string job = key.first.substr(0, key.first.rfind('/'));
    std::string image;
    double pull_gb = 0, run_s = 0;
    bool known = false, service = false;
    {
      const std::lock_guard<std::mutex> lock(book_.mutex);
      const auto entry = book_.jobs.find(job);
      if (entry != book_.jobs.end()) {
        const Json& spec = entry->second.spec;
        known = true;
        task.cores = spec["cores"];
        task.ram_gb = spec["ram_gb"];
        task.fails = entry->second.fails;
        image = spec["bundle"];
        pull_gb = spec["pull_gb"];
        const auto index = std::strtoul(key.first.c_str() + job.size() + 1, nullptr, 10);
        run_s = index >= entry->second.long_from ? entry->second.long_run_s : entry->second.run_s;
        service = spec["shape"] == "standing";
      }
    }
    double cores = 0, ram = 0;
    bool busy = false;
    for (const auto& [other, each] : tasks_) {
      if (each.stage == "exited") continue;
      cores += each.cores;
      ram += each.ram_gb;
      busy = busy || other.first == key.first;
    }
    changed_ = true;
    if (!known || busy || cores + task.cores > cores_ + 1e-9 || ram + task.ram_gb > ram_gb_ + 1e-9) {
      task.stage = "exited";
      task.cause = !known ? "unknown" : busy ? "busy" : "no_room";
      RECORD("start refused piece=%s machine=%s cause=%s", key.first.c_str(), stile_.c_str(), task.cause.c_str());
      if (!known) checker_.broken("unsent_work", key.first);
    } else {
      task.stage = "pulling";
      task.ready_at = now_s() + (images_.contains(image) ? 0 : pull_gb / settings_.fetch_gb_per_s);
      task.ends_at = task.ready_at + (service ? 1e9 : checker_.is_done(key.first) ? 0 : run_s);
    }
    tasks_[key] = task;
  }

  std::string stile_, build_;
  double cores_, ram_gb_;
  std::string yard_;
  bool loaners_;
  WorkerSettings settings_;
  std::vector<int> nodes_;
  std::vector<std::string> node_names_;
  JobBook& book_;
  Checker& checker_;
  Hooks& hooks_;
  std::mt19937 random_;
  std::mutex mutex_;
  int port_ = 0, node_ = 0;
  bool dead_ = false, hung_ = false, changed_ = false;
  double hung_since_ = 0, session_began_ = 0, last_answered_sent_ = -1, recalled_at_ = 0, wait_until_ = 0;
  std::uint64_t shift_ = 1, tick_ = 0, baton_ = 0;
  std::map<Key, Task> tasks_;
  std::set<std::string> images_;
};

/// The cloud: rents and deletes machines. `make_worker` is called when a machine is up.
class Cloud {
 public:
  struct Type {
    std::string sku;
    double cores, ram_gb, boot_s;
    std::vector<std::string> yards;
  };
  Cloud(std::vector<Type> types, int capacity, double list_lag_s,
        std::function<std::shared_ptr<Worker>(const std::string&, const Type&, const std::string&, bool)> make_worker)
      : types_(std::move(types)), capacity_(capacity), list_lag_s_(list_lag_s),
        make_worker_(std::move(make_worker)), port_(free_port()),
        server_(port_, [this](const Request& request) { return handle(request); }) {
    std::thread([this] { run(); }).detach();
  }
  int port() const { return port_; }
  std::atomic<bool> outage{false};
  std::atomic<int> delay_ms{20};

  std::vector<std::shared_ptr<Worker>> workers() {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::vector<std::shared_ptr<Worker>> out;
    for (auto& [id, machine] : machines_)
      if (machine.worker && !machine.worker->dead()) out.push_back(machine.worker);
    return out;
  }
  /// A machine that is up from the start, or comes up without being asked for.
  std::string add(const std::string& sku, const std::string& yard) {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const Type& type : types_)
      if (type.sku == sku) return add_machine(type, yard, false, 0);
    return "";
  }

 private:
  struct Machine {
    Type type;
    std::string yard;
    bool loaners;
    double rented_at, up_at;
    std::shared_ptr<Worker> worker;
    bool deleted = false;
    double deleted_at = 0;
    double died_at = 0;
  };

  std::string add_machine(const Type& type, const std::string& yard, bool loaners, double boot) {
    char name[16];
    std::snprintf(name, sizeof name, "n-%06d", ++last_);
    machines_[name] = {type, yard, loaners, now_s(), now_s() + boot, nullptr};
    return name;
  }

  Response handle(const Request& request) {
    sleep_s(delay_ms / 1000.0);
    if (outage) return {503, R"({"error":"trouble"})"};
    const std::lock_guard<std::mutex> lock(mutex_);
    const std::string path = request.target.substr(0, request.target.find('?'));
    if (path == "/catalog") {
      Json builds = Json::array();
      for (const Type& type : types_)
        builds.push_back({{"sku", type.sku}, {"cores", type.cores}, {"gpus", 0}, {"ram_gb", type.ram_gb},
                          {"local_gb", 70}, {"fetch_gb_per_s", 1.0}, {"rate", 0.05 * type.cores},
                          {"low_price", 0.02 * type.cores}, {"boot_s", type.boot_s}, {"yards", type.yards}});
      return {200, Json{{"builds", builds}}.dump()};
    }
    if (request.method == "POST" && path == "/machines/release") {
      const Json names = Json::parse(request.body)["stiles"];
      for (const Json& name : names) {
        const auto found = machines_.find(name);
        if (found == machines_.end() || found->second.deleted) continue;
        found->second.deleted = true;
        found->second.deleted_at = now_s();
        if (found->second.worker) found->second.worker->die("released");
        RECORD("cloud deletes id=%s", found->first.c_str());
      }
      return {200, "{}"};
    }
    if (request.method == "POST" && path == "/machines") {
      const Json body = Json::parse(request.body);
      const std::string hire = body["hire"];
      const auto before = hires_.find(hire);
      if (before != hires_.end()) return {200, before->second};
      int running = 0;
      for (const auto& [id, machine] : machines_) running += machine.deleted ? 0 : 1;
      const int count = std::min<int>({body["how_many"].get<int>(), 50, capacity_ - running});
      if (count <= 0) return {503, R"({"error":"no capacity"})"};
      Json names = Json::array();
      for (const Type& type : types_)
        if (type.sku == body["build"])
          for (int i = 0; i < count; ++i)
            names.push_back(add_machine(type, body["yard"], body["loaners"], type.boot_s * (0.6 + 0.05 * (i % 10))));
      RECORD("cloud rents hire=%s machines=%s", hire.c_str(), names.dump().c_str());
      hires_[hire] = Json{{"stiles", names}}.dump();
      return {200, hires_[hire]};
    }
    if (path == "/machines") {
      const std::string from = query_value(request.target, "from");
      Json list = Json::array();
      const double as_of = now_s() - list_lag_s_;
      for (auto& [id, machine] : machines_) {
        if (id <= from || machine.rented_at > as_of) continue;
        if (machine.deleted && machine.deleted_at <= as_of) continue;
        std::string stage = machine.up_at > as_of ? "booting" : "running";
        if (machine.died_at > 0 && machine.died_at + 30 <= as_of) stage = "failed";
        list.push_back({{"id", id}, {"addr", "127.0.0.1:9"}, {"build", machine.type.sku}, {"yard", machine.yard},
                        {"loaners", machine.loaners}, {"stage", stage}, {"held_s", as_of - machine.rented_at}});
      }
      return {200, Json{{"stiles", list}, {"more", false}}.dump()};
    }
    return {400, "{}"};
  }

  void run() {
    while (true) {
      sleep_s(0.02);
      const std::lock_guard<std::mutex> lock(mutex_);
      for (auto& [id, machine] : machines_) {
        if (!machine.deleted && !machine.worker && now_s() >= machine.up_at) {
          RECORD("machine up id=%s type=%s zone=%s", id.c_str(), machine.type.sku.c_str(), machine.yard.c_str());
          machine.worker = make_worker_(id, machine.type, machine.yard, machine.loaners);
        }
        if (machine.worker && machine.died_at == 0 && machine.worker->dead()) machine.died_at = now_s();
      }
    }
  }

  std::vector<Type> types_;
  int capacity_;
  double list_lag_s_;
  std::function<std::shared_ptr<Worker>(const std::string&, const Type&, const std::string&, bool)> make_worker_;
  std::mutex mutex_;
  std::map<std::string, Machine> machines_;
  std::map<std::string, std::string> hires_;
  int last_ = 0;
  int port_;
  HttpServer server_;
};

}  // namespace review
