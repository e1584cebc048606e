#include "simulation/simulation.hpp"

#include <algorithm>

namespace poppystile::simulation {

using transport::Endpoint;
using transport::HttpRequest;
using transport::HttpResponse;

namespace {
const Endpoint state_endpoint{"10.2.0.1", 2379};
constexpr double user_patience_s = 5;
constexpr double poll_patience_s = 2;
constexpr double poll_every_s = 5;
constexpr double retry_after_s = 1;
constexpr double late_write_least_s = 2, late_write_most_s = 12;  // the bench's
constexpr double odd_every_s = 0.4;
constexpr double waiting_look_s = 1;  // finer than a slot is empty between two tasks
constexpr int most_hanging = 8;
}  // namespace

// One controller: the real node over simulated time, network and siblings.
struct Simulation::ControllerProcess : transport::Runtime,
                                       transport::HttpCaller,
                                       transport::PeerTransport {
  ControllerProcess(Simulation& w, int number_) : world(w), number(number_) {
    name = "stile-" + std::to_string(number);
    clock_rate = 1 + world.queue_.uniform(0, 0.0005);
    wall_off = world.queue_.uniform(-0.1, 0.1);
  }

  // The steady clock of each machine drifts within PROTOCOL's bound.
  SteadyTime now() const override {
    return SteadyTime{Seconds{1000 + world.queue_.now() * clock_rate}};
  }
  WallTime wall_now() const override {
    return WallTime{Seconds{1.7e9 + world.queue_.now() + wall_off}};
  }
  void after(Seconds delay, std::function<void()> action) override {
    std::weak_ptr<int> mine = life;
    world.queue_.after(std::max(0.0, delay.count()) / clock_rate + 0.0005,
                       [this, mine, action = std::move(action)] {
                         if (mine.expired()) return;
                         frozen ? late_timers.push_back(action) : action();
                       });
  }

  // Runs what has come in for this life of the process: at once, or when it wakes.
  void arrive(std::function<void()> action) {
    if (frozen) return late_arrivals.push_back(std::move(action));
    action();
  }

  void call(const Endpoint& to, HttpRequest request, Seconds timeout,
            std::function<void(HttpResponse)> done) override {
    std::weak_ptr<int> mine = life;
    auto settled = std::make_shared<bool>(false);
    const auto settle = [mine, settled, done = std::move(done)](HttpResponse response) {
      if (mine.expired() || std::exchange(*settled, true)) return;
      done(std::move(response));
    };
    const auto answered = [this, mine, settle](const HttpResponse& response) {
      if (!mine.expired()) arrive([settle, response] { settle(response); });
    };
    // A timer, and so before any answer that waits when a node wakes.
    after(timeout, [settle] { settle({}); });
    const bool state = to == state_endpoint;
    if (!state && request.target == protocol::release_path && superseded()) ++world.stale_releases_;
    if (state && cut.state) {
      // Held packets arrive when the cut ends, though the sender has given up by then.
      if (cut.hold) held.push_back([this, request] { world.state_->handle(request, [](auto) {}); });
      return;
    }
    const bool watch = state && request.target.starts_with("/follow");
    if (state && cut.refuse) {
      world.queue_.after(0.003, [answered] { answered({503, R"({"error":"trouble"})"}); });
      return;
    }
    if (state && request.target == "/multi" && world.queue_.chance(world.late_writes_)) {
      world.queue_.after(world.queue_.uniform(late_write_least_s, late_write_most_s),
                         [this, request] { carry_out(true, request, [](auto) {}); });
      return;
    }
    const double there = world.queue_.chance(0.01) ? 0.3 : world.queue_.uniform(0.001, 0.004);
    world.queue_.after(there, [this, state, watch, request, answered] {
      const auto reply = [this, state, watch, answered](const HttpResponse& response) {
        if (watch && (cut.watch || cut.refuse)) {
          held.push_back([answered, response] { answered(response); });
          return;
        }
        // Nothing crosses a cut, answers to calls made before it included.
        if (state && cut.state) return;
        if (state && world.queue_.chance(world.settings_.lose_answers)) return;
        const double slower =
            state && world.queue_.chance(world.slow_share_) ? world.slow_by_s_ : 0;
        world.queue_.after(slower + world.queue_.uniform(0.001, 0.004),
                           [answered, response] { answered(response); });
      };
      carry_out(state, request, reply);
      if (!world.queue_.chance(world.repeat_share_)) return;
      // Whoever carried it out may be asked the same once more, much later.
      world.queue_.after(world.queue_.uniform(world.repeat_least_s_, world.repeat_most_s_),
                         [this, state, request] { carry_out(state, request, [](auto) {}); });
    });
  }

  // Whether somebody leads under a higher token.
  bool superseded() const {
    return std::any_of(world.controllers_.begin(), world.controllers_.end(), [&](const auto& each) {
      return each->node && each->node->is_leader() && each->node->token() > node->token();
    });
  }

  void carry_out(bool state, const HttpRequest& request,
                 const std::function<void(HttpResponse)>& reply) const {
    if (state) {
      world.state_->handle(request, reply);
    } else {
      world.cloud_->handle(request, reply);
    }
  }

  void broadcast(const std::string& frame) override {
    for (auto& other : world.controllers_) {
      if (other.get() == this) continue;
      ControllerProcess* to = other.get();
      const auto deliver = [to, frame] {
        to->arrive([to, frame] {
          if (to->node && to->on_peer) to->on_peer(frame);
        });
      };
      if (!cut.peers && !to->cut.peers) {
        world.queue_.after(0.002 + world.slow_frames_by_s_, deliver);
      } else if (cut.peers ? cut.hold : to->cut.hold) {
        (cut.peers ? held : to->held).push_back(deliver);
      }
    }
  }
  void on_frame(std::function<void(const std::string&)> handler) override {
    on_peer = std::move(handler);
  }

  Simulation& world;
  int number;
  std::string name;
  double clock_rate = 1;
  double wall_off = 0;
  Cut cut;
  std::vector<std::function<void()>> held;
  // The process stands still while its clocks go on: what is due or comes in waits.
  bool frozen = false;
  std::vector<std::function<void()>> late_timers, late_arrivals;
  protocol::Settings settings;
  protocol::Properties properties;
  std::shared_ptr<int> life;
  std::function<void(const std::string&)> on_peer;
  std::unique_ptr<coordination::Controller> node;
};

Simulation::Simulation(const SimulationSettings& settings)
    : settings_(settings),
      queue_(settings.seed),
      invariants_(queue_, settings.cancel_s),
      gangs_(queue_, invariants_, settings.gang_times) {
  state_ = std::make_unique<StateService>(queue_, settings.state_rps, settings.state_write_rps,
                                          settings.txn_ops);
  cloud_ = std::make_unique<Cloud>(queue_, settings.list_lag_s);
  for (const auto& team : settings.teams)
    invariants_.team(team.name, static_cast<std::int64_t>(team.cpus_max * 1000));
  std::vector<std::string> names;
  names.reserve(static_cast<std::size_t>(settings.nodes));
  for (int i = 0; i < settings.nodes; ++i) names.push_back("stile-" + std::to_string(i));
  cloud_->on_up = [this, names](const Rented& rented, const protocol::MachineType& type) {
    auto worker = std::make_unique<Worker>(
        queue_, invariants_, gangs_, Place{rented.id, rented.type, rented.zone, rented.spot}, type,
        WorkerTimes{settings_.heartbeat_interval_s, settings_.lease_s}, names,
        [this](const std::string& node, const Worker& from, const std::string& body,
               const Worker::Reply& reply) { send_report(node, from, body, reply); });
    worker->start();
    workers_[rented.id] = std::move(worker);
  };
  cloud_->on_machine_removed = [this](const std::string& id) {
    const auto it = workers_.find(id);
    if (it == workers_.end()) return;
    it->second->stop();
    lapses_gone_ += it->second->lapses();
    gone_.push_back(std::move(it->second));
    workers_.erase(it);
  };
}

Simulation::~Simulation() = default;

void Simulation::start() {
  for (int i = 0; i < settings_.nodes; ++i)
    controllers_.push_back(std::make_unique<ControllerProcess>(*this, i));
  for (int i = 0; i < settings_.nodes; ++i) boot(i);
  sweep();
  look_for_waiting_jobs();
}

void Simulation::boot(int number) {
  ControllerProcess& self = *controllers_[static_cast<std::size_t>(number)];
  protocol::Settings& s = self.settings;
  s.name = self.name;
  s.zone = settings_.zones[static_cast<std::size_t>(number) % settings_.zones.size()];
  s.state = state_endpoint;
  s.cloud = {"10.2.0.2", 8443};
  s.zones = settings_.zones;
  s.teams = settings_.teams;
  s.heartbeat_interval = Seconds{settings_.heartbeat_interval_s};
  s.worker_lease = Seconds{settings_.lease_s};
  s.cancel_timeout = Seconds{settings_.cancel_s};
  s.gang_times = protocol::GangTimes{Seconds{settings_.gang_times.wait_s},
                                     Seconds{settings_.gang_times.peer_s}};
  s.state_limits.rps = settings_.state_rps;
  s.state_limits.write_rps = settings_.state_write_rps;
  s.state_limits.txn_ops = settings_.txn_ops;
  if (settings_.next_limits)
    s.state_limits = protocol::lower_of(s.state_limits, *settings_.next_limits);
  s.cloud_rps = 6;
  s.list_lag = Seconds{settings_.list_lag_s};
  s.peers.clear();
  for (int i = 0; i < settings_.nodes; ++i)
    if (i != number) s.peers.push_back({"stile-" + std::to_string(i), "a", {"10.0.0.9", 1}});
  self.life = std::make_shared<int>(0);
  self.node = std::make_unique<coordination::Controller>(self, self, self, self.settings,
                                                         self.properties, queue_.random());
  self.node->start();
}

void Simulation::lower_state_limits() {
  if (!settings_.next_limits) return;
  const auto& next = *settings_.next_limits;
  state_->set_limits(next.write_rps, next.txn_ops, next.value_kb);
}

// --- network ---

void Simulation::send_report(const std::string& node, const Worker& from, const std::string& body,
                             Worker::Reply within_retry_deadline) {
  const auto answer = [this, within_retry_deadline =
                                 std::move(within_retry_deadline)](const HttpResponse& response) {
    if (!queue_.chance(slow_reports_)) return within_retry_deadline(response);
    queue_.after(slow_reports_by_s_,
                 [within_retry_deadline, response] { within_retry_deadline(response); });
  };
  // What a deaf machine is told is lost on the way; it may hear again before the next answer.
  const auto reply = [this, machine = from.place().machine, answer](const HttpResponse& response) {
    if (!deaf_.contains(machine)) return answer(response);
    if (response.body.find(R"("verb":"start")") != std::string::npos) ++unheard_starts_;
  };
  if (queue_.chance(copy_share_)) {
    ControllerProcess* to = controllers_[static_cast<std::size_t>(queue_.uniform(
                                             0, static_cast<double>(controllers_.size())))]
                                .get();
    queue_.after(queue_.uniform(copy_least_s_, copy_most_s_), [to, body] {
      if (to->node && !to->cut.workers)
        to->node->handle({"POST", "/agent/beat", body}, [](auto) {});
    });
  }
  for (auto& each : controllers_) {
    if (each->name != node) continue;
    ControllerProcess* to = each.get();
    const bool inside = from.place().zone == zone_apart_;
    if (!zone_apart_.empty() && inside != (to->settings.zone == zone_apart_)) return;
    if (to->cut.workers) {
      if (to->cut.hold)
        to->held.push_back([to, body] {
          if (to->node) to->node->handle({"POST", "/agent/beat", body}, [](auto) {});
        });
      return;
    }
    queue_.after(queue_.uniform(0.0005, 0.003), [this, to, body, reply] {
      if (!to->node) return reply({0, ""});
      to->arrive([this, to, body, reply] {
        if (!to->node) return;
        to->node->handle(
            {"POST", "/agent/beat", body}, [this, to, reply](const HttpResponse& response) {
              if (to->cut.workers) return;
              queue_.after(queue_.uniform(0.0005, 0.003), [reply, response] { reply(response); });
            });
      });
    });
  }
}

void Simulation::user_call(const std::string& method, const std::string& target,
                           const std::string& body, std::function<void(HttpResponse)> done) {
  std::vector<ControllerProcess*> up;
  for (auto& each : controllers_)
    if (each->node && !each->cut.users) up.push_back(each.get());
  if (up.empty()) return queue_.after(0.5, [done] { done({}); });
  ControllerProcess* to =
      up[static_cast<std::size_t>(queue_.uniform(0, static_cast<double>(up.size())))];
  auto settled = std::make_shared<bool>(false);
  const auto settle = [settled, done = std::move(done)](HttpResponse response) {
    if (!std::exchange(*settled, true)) done(std::move(response));
  };
  queue_.after(method == "GET" ? poll_patience_s : user_patience_s, [settle] { settle({}); });
  queue_.after(0.002, [this, to, method, target, body, settle] {
    if (!to->node) return settle({});
    to->arrive([this, to, method, target, body, settle] {
      if (!to->node) return;
      to->node->handle({method, target, body}, [this, to, target,
                                                settle](const HttpResponse& response) {
        queue_.after(0.002, [settle, response] { settle(response); });
        if (crash_confirmer_ < 0 || !target.ends_with("/cancel") || response.status != 200) return;
        // Not from inside itself.
        queue_.after(0.0001, [this, number = to->number,
                              back = std::exchange(crash_confirmer_, -1)] { crash(number, back); });
      });
    });
    if (method == "GET" || !queue_.chance(repeat_share_)) return;
    // Submissions and cancellations that were carried out come once more, at any node.
    queue_.after(queue_.uniform(repeat_least_s_, repeat_most_s_), [this, method, target, body] {
      ControllerProcess& other = *controllers_[static_cast<std::size_t>(
          queue_.uniform(0, static_cast<double>(controllers_.size())))];
      other.arrive([&other, method, target, body] {
        if (other.node) other.node->handle({method, target, body}, [](auto) {});
      });
    });
  });
}

// --- users ---

void Simulation::submit(const protocol::JobSpec& job) {
  invariants_.submitted(job);
  bodies_[job.id] = protocol::encode_submission(job).dump();
  resubmit(job.id);
}

void Simulation::resubmit(const std::string& id) {
  user_call("POST", "/submissions", bodies_[id], [this, id](const HttpResponse& response) {
    if (response.status == 201 || response.status == 200) {
      const auto stage = protocol::parse_object(response.body).at("stage").get<std::string>();
      invariants_.told(id, response.status, stage, false);
      return queue_.after(poll_every_s, [this, id] { poll(id); });
    }
    invariants_.told(id, response.status, "", false);
    if (response.status == 400 || response.status == 422) return;
    queue_.after(retry_after_s, [this, id] { resubmit(id); });
  });
}

void Simulation::poll(const std::string& id) {
  invariants_.asked(id);
  user_call("GET", "/submissions/" + id, "", [this, id](const HttpResponse& response) {
    std::string stage;
    if (response.status == 200) stage = protocol::parse_object(response.body).at("stage");
    invariants_.told(id, response.status, stage, true);
    if (stage == "done" || stage == "aborted") finished_.insert(id);
    // Users ask again later too, though more seldom.
    const double next = finished_.contains(id) ? 10 * poll_every_s : poll_every_s;
    queue_.after(next, [this, id] { poll(id); });
  });
}

void Simulation::cancel(const std::string& id) {
  cancelling_.insert(id);
  user_call("POST", "/submissions/" + id + "/cancel", "", [this, id](const HttpResponse& response) {
    if (response.status == 404) return invariants_.told(id, 404, "", true);
    if (response.status != 200) return queue_.after(retry_after_s, [this, id] { cancel(id); });
    const auto stage = protocol::parse_object(response.body).at("stage").get<std::string>();
    if (stage == "aborted") invariants_.told_cancelled(id);
    invariants_.told(id, 200, stage, true);
  });
}

void Simulation::ask_unknown(const std::string& id) {
  user_call("GET", "/submissions/" + id, "", [this, id](const HttpResponse& response) {
    invariants_.told(id, response.status, "?", true);
  });
}

void Simulation::cancel_running(int count, const std::string& job_class, double hang_s) {
  std::set<std::string> hanging;
  for (const auto& id : std::set<std::string>(invariants_.accepted())) {
    if (count == 0) break;
    const bool fits = job_class.empty() || invariants_.job(id)->job_class == job_class;
    const auto machines = invariants_.machines_of(id);
    if (!fits || cancelling_.contains(id) || machines.empty()) continue;
    --count;
    cancel(id);
    hanging.insert(machines.begin(), machines.end());
  }
  if (hang_s <= 0) return;
  int left = most_hanging;
  for (const auto& machine : hanging)
    if (left-- > 0 && workers_.contains(machine)) workers_[machine]->hang(hang_s);
}

void Simulation::cancel_at_end(double share, double for_s) {
  set_for(cancel_at_end_, share, for_s);
  invariants_.on_last_task([this](const std::string& id) {
    if (!cancelling_.contains(id) && queue_.chance(cancel_at_end_))
      queue_.after(queue_.uniform(0, 0.01), [this, id] { cancel(id); });
  });
}

void Simulation::odd_requests(double for_s) {
  odd_until_ = queue_.now() + for_s;
  odd_request(0);
}

void Simulation::odd_request(int turn) {
  if (queue_.now() > odd_until_ || bodies_.empty()) return;
  queue_.after(odd_every_s, [this, turn] { odd_request(turn + 1); });
  auto chosen = std::next(
      bodies_.begin(), static_cast<long>(queue_.uniform(0, static_cast<double>(bodies_.size()))));
  const std::string id = chosen->first;
  if (turn % 3 == 0) {
    if (!invariants_.accepted().contains(id)) return;
    if (finished_.contains(id)) return cancel(id);
    return user_call("POST", "/submissions", chosen->second, [this, id](const HttpResponse& got) {
      std::string stage;
      if (got.status == 200) stage = protocol::parse_object(got.body).at("stage");
      invariants_.told(id, got.status, stage, false);
    });
  }
  protocol::Json body = protocol::parse_object(chosen->second);
  char name[16];
  std::snprintf(name, sizeof(name), "req-9%06d", turn);
  body["id"] = name;
  std::string what = "a task fits nowhere";
  if (turn % 3 == 1) {
    body["cores"] = 1e6;
  } else {
    std::vector<std::string> fields;
    for (const auto& [field, value] : body.items())
      if (field != "builds" && field != "yard" && field != "due_s") fields.push_back(field);
    what = fields[static_cast<std::size_t>(turn / 3) % fields.size()] + " is missing";
    body.erase(what.substr(0, what.find(' ')));
  }
  user_call("POST", "/submissions", body.dump(), [this, what](const HttpResponse& got) {
    if (got.status == 200 || got.status == 201) invariants_.wrongly_accepted(what);
  });
}

std::string Simulation::any_job(const std::string& job_class, bool finished) const {
  for (const auto& [id, body] : bodies_)
    if (invariants_.job(id)->job_class == job_class && finished_.contains(id) == finished &&
        (finished || !cancelling_.contains(id)))
      return id;
  return "";
}

// --- faults ---

int Simulation::pick_node(const std::string& which) {
  if (which == "leader") {
    for (auto& each : controllers_)
      if (each->node && each->node->is_leader()) return each->number;
  }
  if (which == "follower") {
    for (auto& each : controllers_)
      if (each->node && !each->node->is_leader()) return each->number;
  }
  if (which == "leader" || which == "follower" || which == "any")
    return static_cast<int>(queue_.uniform(0, static_cast<double>(controllers_.size())));
  return std::stoi(which);
}

std::vector<int> Simulation::all_but(int node) const {
  std::vector<int> out;
  for (const auto& each : controllers_)
    if (each->number != node) out.push_back(each->number);
  return out;
}

void Simulation::crash(int number, double back_after_s) {
  ControllerProcess& self = *controllers_[static_cast<std::size_t>(number)];
  if (!self.node) return;
  self.life.reset();
  self.frozen = false;
  self.late_timers.clear();
  self.late_arrivals.clear();
  self.on_peer = nullptr;
  self.node.reset();
  queue_.after(back_after_s, [this, number] { boot(number); });
}

void Simulation::cut(int number, const Cut& how) {
  controllers_[static_cast<std::size_t>(number)]->cut = how;
}

void Simulation::heal(int number) {
  ControllerProcess& self = *controllers_[static_cast<std::size_t>(number)];
  self.cut = {};
  for (auto& each : std::exchange(self.held, {})) each();
}

void Simulation::cut_zone(const std::string& zone, bool hold, double for_s) {
  zone_apart_ = zone;
  for (auto& each : controllers_)
    if (each->settings.zone == zone) {
      each->cut = {true, false, true, true, false, hold, false};
      queue_.after(for_s, [this, number = each->number] { heal(number); });
    }
  for (auto& [id, each] : workers_)
    if (each->place().zone == zone) each->excuse(for_s);
  queue_.after(for_s, [this] { zone_apart_.clear(); });
}

void Simulation::freeze(int number, double for_s) {
  ControllerProcess& self = *controllers_[static_cast<std::size_t>(number)];
  if (!self.node || std::exchange(self.frozen, true)) return;
  queue_.after(for_s, [&self, life = std::weak_ptr<int>(self.life)] {
    if (life.expired()) return;
    self.frozen = false;
    // Timers that are due come before anything that is read.
    for (auto& each : std::exchange(self.late_timers, {})) each();
    for (auto& each : std::exchange(self.late_arrivals, {}))
      if (!life.expired()) each();
  });
}

void Simulation::repeat_calls(double share, double least_s, double most_s, double for_s) {
  repeat_share_ = share;
  repeat_least_s_ = least_s;
  repeat_most_s_ = most_s;
  queue_.after(for_s, [this] { repeat_share_ = 0; });
}

std::vector<Worker*> Simulation::some_workers(int count) {
  std::vector<Worker*> out;
  for (auto& [id, each] : workers_) out.push_back(each.get());
  std::shuffle(out.begin(), out.end(), queue_.random);
  if (out.size() > static_cast<std::size_t>(count)) out.resize(static_cast<std::size_t>(count));
  return out;
}

void Simulation::hang_machines(int count, double for_s) {
  for (Worker* each : some_workers(count)) each->hang(for_s);
}

void Simulation::kill_machines(int count) {
  for (Worker* each : some_workers(count)) cloud_->fail(std::string(each->place().machine));
}

void Simulation::sicken_machines(int count, double for_s) {
  for (Worker* each : some_workers(count)) {
    each->fail_everything(true);
    queue_.after(for_s, [each] { each->fail_everything(false); });
  }
}

void Simulation::take_spot(double share, double notice_s) {
  std::vector<std::string> ids;
  for (auto& [id, each] : workers_)
    if (each->place().spot && queue_.chance(share)) ids.push_back(id);
  for (const auto& id : ids) {
    if (notice_s > 0) workers_[id]->notice(notice_s);
    queue_.after(notice_s, [this, id] { cloud_->take(id); });
  }
}

void Simulation::deafen_machines(int count, double for_s) {
  for (Worker* each : some_workers(count)) {
    const std::string id = each->place().machine;
    each->excuse(for_s);
    deaf_.insert(id);
    queue_.after(for_s, [this, id] { deaf_.erase(id); });
  }
}

void Simulation::copy_reports(double share, double least_s, double most_s, double for_s) {
  copy_share_ = share;
  copy_least_s_ = least_s;
  copy_most_s_ = most_s;
  queue_.after(for_s, [this] { copy_share_ = 0; });
}

void Simulation::mute_machines(int count, double for_s) {
  for (Worker* each : some_workers(count)) each->mute(for_s);
}

void Simulation::set_for(double& knob, double value, double for_s) {
  const double usual = std::exchange(knob, value);
  queue_.after(for_s, [&knob, usual] { knob = usual; });
}

void Simulation::late_writes(double share, double for_s) { set_for(late_writes_, share, for_s); }

void Simulation::slow_state(double share, double by_s, double for_s) {
  slow_by_s_ = by_s;
  set_for(slow_share_, share, for_s);
}

void Simulation::lose_answers(double share, double for_s) {
  set_for(settings_.lose_answers, share, for_s);
}

void Simulation::slow_frames(double by_s, double for_s) { set_for(slow_frames_by_s_, by_s, for_s); }

void Simulation::slow_reports(double share, double by_s, double for_s) {
  slow_reports_by_s_ = by_s;
  set_for(slow_reports_, share, for_s);
}

std::uint64_t Simulation::lapses() const {
  std::uint64_t out = lapses_gone_;
  for (const auto& [id, each] : workers_) out += each->lapses();
  return out;
}

void Simulation::cut_next_winner(const Cut& cut, double for_s) {
  winners_cut_ = cut;
  cut_winner_s_ = for_s;
}

void Simulation::look_for_waiting_jobs() {
  queue_.after(waiting_look_s, [this] { look_for_waiting_jobs(); });
  for (const auto& id : invariants_.accepted())
    invariants_.waits(id, invariants_.waits_within_limit(id) ? waits_beside(id) : "");
}

std::string Simulation::waits_beside(const std::string& id) const {
  const protocol::JobSpec& spec = *invariants_.job(id);
  const std::int64_t needed = spec.kind == protocol::JobKind::gang ? spec.tasks : 1;
  std::map<std::string, std::int64_t> room;  // by zone, where it must be one
  for (const auto& [machine, worker] : workers_) {
    auto& tasks = room[spec.one_zone ? worker->place().zone : ""];
    tasks += worker->tasks_that_fit(spec);
    if (tasks >= needed) return machine;
  }
  return "";
}

void Simulation::sweep() {
  invariants_.sweep();
  if (crash_winner_ >= 0)
    for (auto& each : controllers_)
      if (each->node && each->node->is_leader()) {
        crash(each->number, std::exchange(crash_winner_, -1));
        break;
      }
  if (freeze_winner_s_ >= 0)
    for (auto& each : controllers_)
      if (each->node && !each->frozen && each->node->is_leader()) {
        freeze(each->number, std::exchange(freeze_winner_s_, -1));
        break;
      }
  if (cut_winner_s_ >= 0)
    for (auto& each : controllers_)
      if (each->node && each->node->is_leader()) {
        const int number = each->number;
        cut(number, winners_cut_);
        queue_.after(std::exchange(cut_winner_s_, -1), [this, number] { heal(number); });
        break;
      }
  // Closely enough to find a winner that has not read the journal yet.
  const bool closely = crash_winner_ >= 0 || cut_winner_s_ >= 0 || freeze_winner_s_ >= 0;
  queue_.after(closely ? 0.001 : 0.5, [this] { sweep(); });
}

}  // namespace poppystile::simulation
